#include "ScenarioRunner.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace hemlockchute::harness {

namespace asio = boost::asio;

namespace {

constexpr auto controlTimeout = std::chrono::seconds(60);
constexpr Duration observeTimeout = 2s;

std::string processName(const Statement& statement)
{
    return statement.at("HOST") + " " + statement.at("ROLE");
}

std::string readFile(const std::filesystem::path& path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace

const std::vector<ScenarioRunner::StepForm>& ScenarioRunner::stepForms()
{
    static const std::vector<StepForm> table {
        { "scenario TITLE:text", &ScenarioRunner::title },
        { "data-centre NAME:name hosts HOSTS:number [keepers KEEPERS:number]", &ScenarioRunner::addDataCentre },
        { "delay TIME:number ms", &ScenarioRunner::setDelay },
        { "engine NAME:name in PLACE:name memory MIB:number MiB [slots SLOTS:number] [fencing FENCING:name] [token TOKEN:number us] [load LOAD:number ms]", &ScenarioRunner::addEngine },
        { "service NAME:name in PLACE:name", &ScenarioRunner::addService },
        { "cap MODEL:text REPLICAS:number", &ScenarioRunner::setCap },
        { "start", &ScenarioRunner::startAll },
        { "submit FILE:text as LABEL:name [base BASE:number] [id ID:name]", &ScenarioRunner::submit },
        { "expect LABEL:name submitted VERDICT:name", &ScenarioRunner::expectVerdict },
        { "expect LABEL:name exits CODE:number", &ScenarioRunner::expectExit },
        { "queue COUNT:number", &ScenarioRunner::setQueue },
        { "ask MODEL:text as LABEL:name through HOST:name [rank RANK:name] [adapter ADAPTER:text] [tokens TOKENS:number] [deadline DEADLINE:number ms]", &ScenarioRunner::ask },
        { "flood MODEL:text with COUNT:number as LABEL:name through HOST:name rank RANK:name [tokens TOKENS:number] [deadline DEADLINE:number ms]", &ScenarioRunner::flood },
        { "call SERVICE:name PATH:text as LABEL:name through HOST:name [key KEY:text]", &ScenarioRunner::call },
        { "expect LABEL:name answered STATUS:number [tokens TOKENS:number]", &ScenarioRunner::expectAnswered },
        { "expect LABEL:name outcome OUTCOME:name", &ScenarioRunner::expectOutcome },
        { "expect LABEL:name run RUN:name", &ScenarioRunner::expectRun },
        { "expect flood LABEL:name of COUNT:number all answered at-least SERVED:number served [at-least REFUSED:number refused]", &ScenarioRunner::expectFlood },
        { "kill HOST:name ROLE:name", &ScenarioRunner::kill },
        { "kill-backend NAME:name", &ScenarioRunner::killBackend },
        { "restart HOST:name ROLE:name", &ScenarioRunner::restart },
        { "restart-backend NAME:name", &ScenarioRunner::restartBackend },
        { "stop HOST:name ROLE:name", &ScenarioRunner::stop },
        { "freeze HOST:name ROLE:name", &ScenarioRunner::freeze },
        { "thaw HOST:name ROLE:name", &ScenarioRunner::thaw },
        { "erase HOST:name", &ScenarioRunner::erase },
        { "cut PLACE:name", &ScenarioRunner::cut },
        { "heal PLACE:name", &ScenarioRunner::heal },
        { "silence PLACE:name", &ScenarioRunner::silence },
        { "behave NAME:name KEY:name VALUE:number", &ScenarioRunner::behave },
        { "leaving NAME:name", &ScenarioRunner::leaving },
        { "wait TIME:number ms", &ScenarioRunner::wait },
        { "within TIME:number s version VERSION:number [in PLACE:name]", &ScenarioRunner::withinVersion },
        { "within TIME:number s loaded MODEL:text COMPARE:name COUNT:number [in PLACE:name]", &ScenarioRunner::withinLoaded },
        { "within TIME:number s ready", &ScenarioRunner::withinReady },
        { "within TIME:number s keepers VOTERS:number", &ScenarioRunner::withinKeepers },
        { "runs SERVICE:name KEY:text are COUNT:number", &ScenarioRunner::checkRuns },
        { "loads MODEL:text are COUNT:number", &ScenarioRunner::checkLoads },
        { "submit-many FILE:text COUNT:number", &ScenarioRunner::manyDocuments },
        { "control ARGUMENTS:text exits CODE:number", &ScenarioRunner::control },
        { "replace-keeper HOST:name", &ScenarioRunner::replaceKeeper },
        { "stop-all", &ScenarioRunner::stopAll },
    };
    return table;
}

ScenarioRunner::ScenarioRunner(Deployment& deployment, std::filesystem::path documents, bool narrate)
    : m_deployment(deployment)
    , m_documents(std::move(documents))
    , m_narrate(narrate)
    , m_client(HttpClient::Options())
{
}

Forms ScenarioRunner::forms()
{
    Forms forms;
    for (const StepForm& row : stepForms())
        forms.emplace_back(row.form);
    return forms;
}

void ScenarioRunner::run(const std::vector<Statement>& statements)
{
    for (const Statement& statement : statements) {
        narrate("> " + statement.text);
        const auto& table = stepForms();
        auto row = std::find_if(table.begin(), table.end(), [&](const StepForm& candidate) { return statement.form == candidate.form; });
        try {
            (this->*row->step)(statement);
            checkInvariants();
        } catch (const std::exception& error) {
            throw StepFailed("line " + std::to_string(statement.line) + ": " + statement.text + "\n    " + error.what());
        }
    }
}

void ScenarioRunner::narrate(const std::string& line) const
{
    if (m_narrate)
        std::cout << line << std::endl;
}

//==============================================================================
void ScenarioRunner::title(const Statement& statement)
{
    narrate(statement.at("TITLE"));
}

void ScenarioRunner::addDataCentre(const Statement& statement)
{
    m_deployment.addDataCentre({ statement.at("NAME"), statement.number("HOSTS", 2), statement.number("KEEPERS", 1) });
}

void ScenarioRunner::addEngine(const Statement& statement)
{
    BackendServerOptions options { statement.at("NAME"), statement.at("PLACE"), true, { "--memory-mib=" + statement.at("MIB") } };
    if (statement.has("SLOTS"))
        options.extraArguments.push_back("--slots=" + statement.at("SLOTS"));
    if (statement.valueOr("FENCING", "") == "ignored")
        options.extraArguments.emplace_back("--ignore-fencing");
    if (statement.has("TOKEN"))
        options.extraArguments.push_back("--token-us=" + statement.at("TOKEN"));
    if (statement.has("LOAD"))
        options.extraArguments.push_back("--load-ms=" + statement.at("LOAD"));
    m_deployment.addBackend(options);
}

void ScenarioRunner::addService(const Statement& statement)
{
    m_deployment.addBackend({ statement.at("NAME"), statement.at("PLACE"), false, {} });
}

void ScenarioRunner::setDelay(const Statement& statement)
{
    m_deployment.setDelay(std::chrono::milliseconds(statement.number("TIME", 0)));
}

void ScenarioRunner::setQueue(const Statement& statement)
{
    m_deployment.setMaximumWaiting(statement.number("COUNT", 0));
}

void ScenarioRunner::setCap(const Statement& statement)
{
    m_caps[statement.at("MODEL")] = static_cast<unsigned>(statement.number("REPLICAS", 0));
}

void ScenarioRunner::startAll(const Statement&)
{
    m_deployment.startAll();
    m_isStarted = true;
}

//==============================================================================
std::pair<int, std::string> ScenarioRunner::runControl(std::vector<std::string> arguments)
{
    std::filesystem::path output = m_deployment.folder() / ("hemlockctl." + std::to_string(++m_controlRuns) + ".out");
    arguments.insert(arguments.begin(), "--settings=" + m_deployment.controlSettings().string());
    Process process(m_deployment.programs() / "hemlockctl", arguments, output);
    std::optional<int> code = process.waitForExit(controlTimeout);
    return { code.value_or(-1), readFile(output) };
}

void ScenarioRunner::submit(const Statement& statement)
{
    std::vector<std::string> arguments { "submit", (m_documents / statement.at("FILE")).string(), "--json", "--base=" + statement.valueOr("BASE", "0") };
    if (statement.has("ID"))
        arguments.push_back("--submit-id=" + statement.at("ID"));
    m_submissions[statement.at("LABEL")] = std::async(std::launch::async, [this, arguments] { return runControl(arguments); });
}

void ScenarioRunner::expectVerdict(const Statement& statement)
{
    auto [code, output] = m_submissions.at(statement.at("LABEL")).get();
    narrate(output);
    if (output.find("\"verdict\":\"" + statement.at("VERDICT") + "\"") == std::string::npos)
        throw std::runtime_error("hemlockctl exited with " + std::to_string(code) + " and said: " + output);
}

void ScenarioRunner::expectExit(const Statement& statement)
{
    auto [code, output] = m_submissions.at(statement.at("LABEL")).get();
    narrate(output);
    if (code != statement.number("CODE", 0))
        throw std::runtime_error("hemlockctl exited with " + std::to_string(code) + " and said: " + output);
}

void ScenarioRunner::manyDocuments(const Statement& statement)
{
    std::string text = readFile(m_documents / statement.at("FILE"));
    for (int i = 0; i < statement.number("COUNT", 0); ++i) {
        std::filesystem::path file = m_deployment.folder() / "many.toml";
        std::ofstream(file) << text << "# change " << i << '\n';
        auto [code, output] = runControl({ "submit", file.string(), "--json", "--base=current" });
        if (code != 0)
            throw std::runtime_error("document " + std::to_string(i) + ": " + output);
    }
}

void ScenarioRunner::control(const Statement& statement)
{
    std::istringstream stream(statement.at("ARGUMENTS"));
    std::vector<std::string> arguments;
    for (std::string word; stream >> word;)
        arguments.push_back(word);
    auto [code, output] = runControl(arguments);
    narrate(output);
    if (code != statement.number("CODE", 0))
        throw std::runtime_error("hemlockctl exited with " + std::to_string(code) + " and said: " + output);
}

void ScenarioRunner::replaceKeeper(const Statement& statement)
{
    auto [id, peer] = m_deployment.keeperOf(statement.at("HOST"));
    auto [code, output] = runControl({ "members", "replace", std::to_string(id), peer });
    narrate(output);
    if (code != 0)
        throw std::runtime_error("hemlockctl exited with " + std::to_string(code) + " and said: " + output);
}

//==============================================================================
void ScenarioRunner::ask(const Statement& statement)
{
    ModelRequestOptions options { statement.at("MODEL"), statement.valueOr("ADAPTER", ""), statement.valueOr("RANK", ""), statement.number("TOKENS", 8), statement.number("DEADLINE", 0) };
    m_calls[statement.at("LABEL")] = asio::co_spawn(asio::make_strand(m_deployment.context()), requestModel(m_client, m_deployment.callerEndpoint(statement.at("HOST")), options), asio::use_future);
}

void ScenarioRunner::flood(const Statement& statement)
{
    ModelRequestOptions options { statement.at("MODEL"), "", statement.at("RANK"), statement.number("TOKENS", 8), statement.number("DEADLINE", 0) };
    for (int i = 1; i <= statement.number("COUNT", 0); ++i) {
        std::string label = statement.at("LABEL") + "-" + std::to_string(i);
        m_calls[label] = asio::co_spawn(asio::make_strand(m_deployment.context()), requestModel(m_client, m_deployment.callerEndpoint(statement.at("HOST")), options), asio::use_future);
    }
}

void ScenarioRunner::call(const Statement& statement)
{
    m_calls[statement.at("LABEL")] = asio::co_spawn(asio::make_strand(m_deployment.context()),
        callService(m_client, m_deployment.callerEndpoint(statement.at("HOST")), statement.at("SERVICE"), statement.at("PATH"), statement.valueOr("KEY", "")), asio::use_future);
}

const CallResult& ScenarioRunner::result(const std::string& label)
{
    auto call = m_calls.find(label);
    if (call != m_calls.end()) {
        m_results[label] = call->second.get();
        m_calls.erase(call);
        narrate("    " + label + ": " + m_results[label].summary());
    }
    return m_results.at(label);
}

void ScenarioRunner::expectAnswered(const Statement& statement)
{
    const CallResult& got = result(statement.at("LABEL"));
    bool tokensFit = !statement.has("TOKENS") || (got.isComplete && got.failure.empty() && got.tokens == static_cast<std::uint64_t>(statement.number("TOKENS", 0)));
    if (static_cast<int>(got.status) != statement.number("STATUS", 0) || !tokensFit)
        throw std::runtime_error("the caller got " + got.summary());
}

void ScenarioRunner::expectOutcome(const Statement& statement)
{
    const CallResult& got = result(statement.at("LABEL"));
    if (got.outcome() != statement.at("OUTCOME"))
        throw std::runtime_error("the caller got " + got.summary());
}

void ScenarioRunner::expectRun(const Statement& statement)
{
    const CallResult& got = result(statement.at("LABEL"));
    if (got.headers.find("X-Run").value_or("") != statement.at("RUN"))
        throw std::runtime_error("the caller got " + got.summary());
}

void ScenarioRunner::expectFlood(const Statement& statement)
{
    int served = 0;
    for (int i = 1; i <= statement.number("COUNT", 0); ++i) {
        const CallResult& got = result(statement.at("LABEL") + "-" + std::to_string(i));
        if (got.status == 0 || (got.status == 200 && !got.isComplete))
            throw std::runtime_error("a caller was not answered: " + got.summary());
        if (got.status != 200 && !got.headers.find("Retry-After") && got.status != 504)
            throw std::runtime_error("a refusal without Retry-After: " + got.summary());
        served += got.status == 200;
    }
    narrate("    " + std::to_string(served) + " of " + statement.at("COUNT") + " served");
    int refused = statement.number("COUNT", 0) - served;
    if (served < statement.number("SERVED", 0) || refused < statement.number("REFUSED", 0))
        throw std::runtime_error(std::to_string(served) + " were served and " + std::to_string(refused) + " refused");
}

//==============================================================================
void ScenarioRunner::kill(const Statement& statement)
{
    m_deployment.process(processName(statement)).signal(SIGKILL);
}

void ScenarioRunner::killBackend(const Statement& statement)
{
    m_deployment.process(statement.at("NAME")).signal(SIGKILL);
}

void ScenarioRunner::restart(const Statement& statement)
{
    m_deployment.start(processName(statement));
}

void ScenarioRunner::restartBackend(const Statement& statement)
{
    m_deployment.start(statement.at("NAME"));
}

void ScenarioRunner::stop(const Statement& statement)
{
    Process& process = m_deployment.process(processName(statement));
    process.signal(SIGTERM);
    std::optional<int> code = process.waitForExit(std::chrono::seconds(30));
    if (code != 0)
        throw std::runtime_error(code ? "it exited with " + std::to_string(*code) : "it still runs");
}

void ScenarioRunner::freeze(const Statement& statement)
{
    m_deployment.process(processName(statement)).signal(SIGSTOP);
}

void ScenarioRunner::thaw(const Statement& statement)
{
    m_deployment.process(processName(statement)).signal(SIGCONT);
}

void ScenarioRunner::erase(const Statement& statement)
{
    m_deployment.eraseData(statement.at("HOST"));
}

void ScenarioRunner::cut(const Statement& statement)
{
    m_deployment.cut(statement.at("PLACE"));
}

void ScenarioRunner::heal(const Statement& statement)
{
    m_deployment.heal(statement.at("PLACE"));
}

void ScenarioRunner::silence(const Statement& statement)
{
    m_deployment.silence(statement.at("PLACE"));
}

void ScenarioRunner::behave(const Statement& statement)
{
    HttpRequest request { "POST", "/behave", {}, "{\"" + statement.at("KEY") + "\":" + statement.at("VALUE") + "}" };
    auto answer = asio::co_spawn(asio::make_strand(m_deployment.context()), m_client.send(m_deployment.backendEndpoint(statement.at("NAME")), request, std::chrono::steady_clock::now() + observeTimeout, HttpClient::ConnectionUse::Fresh), asio::use_future).get();
    if (!answer)
        throw std::runtime_error(answer.error().detail);
}

void ScenarioRunner::leaving(const Statement& statement)
{
    m_deployment.setLeaving(statement.at("NAME"));
}

void ScenarioRunner::wait(const Statement& statement)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(statement.number("TIME", 0)));
}

void ScenarioRunner::stopAll(const Statement&)
{
    std::vector<std::string> failed = m_deployment.stopAll();
    m_isStarted = false;
    std::string list;
    for (const std::string& name : failed)
        list += (list.empty() ? "" : ", ") + name;
    if (!failed.empty())
        throw std::runtime_error("did not stop in good order: " + list);
}

} // namespace hemlockchute::harness
