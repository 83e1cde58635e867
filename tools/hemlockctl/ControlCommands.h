#pragma once

#include "Arguments.h"
#include "Console.h"
#include "ControlClient.h"

namespace hemlockchute {

//==============================================================================
/**
    The commands of hemlockctl that ask the keepers.

    Thread safety: one thread at a time.

    @see OfflineCommands
*/
class ControlCommands {
public:
    ControlCommands(const Arguments&, ControlSettings, Console&);

    /** Runs the command. Precondition: Arguments::parse() gave it. */
    ExitCode run();

private:
    struct Entry {
        std::string_view command;
        ExitCode (ControlCommands::*run)();
    };

    /** What a request came to: an answer to show, or an exit code with everything said. */
    using ResponseResult = tl::expected<HttpResponse, ExitCode>;
    using DocumentResult = tl::expected<Document, ExitCode>;
    using EditedSections = std::optional<std::map<TeamName, std::string>>;
    using Edit = EditedSections (ControlCommands::*)(const Document&);

    static const Entry entries[];

    ExitCode submit();
    ExitCode diff();
    ExitCode show();
    ExitCode status();
    ExitCode drain();
    ExitCode undrain();
    ExitCode changeMembers();
    ExitCode showRun();
    ExitCode reportBurn();

    /** Sends a request; anything but the two kinds of refusal that a document meets has been said when it fails. */
    ResponseResult send(HttpRequest, ControlClient::RetryPolicy);
    ResponseResult get(std::string target);
    ResponseResult post(const std::string& text, const std::string& base, const std::string& submitId);
    DocumentResult fetchDocument();
    tl::expected<std::string, ExitCode> readValidFile();
    ExitCode printSubmitAnswer(const HttpResponse&);
    ExitCode print(const HttpResponse&, std::string (*text)(std::string_view));
    ExitCode editDocument(Edit);
    EditedSections addDrain(const Document&);
    EditedSections removeDrain(const Document&);
    ExitCode printSections(const Document&, const std::map<TeamName, std::string>&);

    const Arguments& m_arguments;
    Console& m_console;
    std::vector<Endpoint> m_routers;
    ControlClient m_client;
};

} // namespace hemlockchute
