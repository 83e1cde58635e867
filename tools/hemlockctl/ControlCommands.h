#pragma once

#include "Arguments.h"
#include "Console.h"
#include "ControlClient.h"

namespace hemlockchute {

//==============================================================================
/**
    The commands of hemlockctl that send requests to the keepers.

    Thread safety: one thread at a time.

    @see OfflineCommands
*/
class ControlCommands {
public:
    ControlCommands(const Arguments&, ControlSettings, Console&);

    /** Runs the command. Precondition: the arguments come from Arguments::parse(). */
    ExitCode run();

private:
    struct Entry {
        std::string_view command;
        ExitCode (ControlCommands::*run)();
    };

    /** An answer to show, or the exit code of a failure that has been reported. */
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

    /** Sends a request. If no keeper answers, the failure is reported and ExitCode::Unreachable returned; an answer with an error status is returned to the caller. */
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
