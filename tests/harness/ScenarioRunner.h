#pragma once

#include "Caller.h"
#include "Deployment.h"
#include "ScenarioLanguage.h"

#include <functional>
#include <future>
#include <optional>
#include <stdexcept>

namespace hemlockchute::harness {

/** Thrown when a statement of a scenario fails or an invariant is violated. */
class StepFailed : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

//==============================================================================
/**
    Runs the statements of a scenario in order against real processes. After each statement it checks
    the system's invariants from outside, through the records of the fake external systems.

    docs/SCENARIOS.md describes the language. Thread safety: one thread at a time.
*/
class ScenarioRunner {
public:
    /** `documents` is the folder of the documents that scenarios submit; `narrate` prints each statement and its result. */
    ScenarioRunner(Deployment&, std::filesystem::path documents, bool narrate);

    /** Returns the forms of all statements. */
    static Forms forms();
    /** Runs all statements; throws StepFailed with the line of the first that fails. */
    void run(const std::vector<Statement>&);

private:
    using Step = void (ScenarioRunner::*)(const Statement&);
    struct StepForm {
        const char* form;
        Step step;
    };
    static const std::vector<StepForm>& stepForms();

    //==============================================================================
    void title(const Statement&);
    void addDataCentre(const Statement&);
    void addEngine(const Statement&);
    void addService(const Statement&);
    void setDelay(const Statement&);
    void setCap(const Statement&);
    void setQueue(const Statement&);
    void startAll(const Statement&);
    void submit(const Statement&);
    void expectVerdict(const Statement&);
    void expectExit(const Statement&);
    void ask(const Statement&);
    void flood(const Statement&);
    void call(const Statement&);
    void expectAnswered(const Statement&);
    void expectOutcome(const Statement&);
    void expectRun(const Statement&);
    void expectFlood(const Statement&);
    void kill(const Statement&);
    void killBackend(const Statement&);
    void restart(const Statement&);
    void restartBackend(const Statement&);
    void stop(const Statement&);
    void freeze(const Statement&);
    void thaw(const Statement&);
    void erase(const Statement&);
    void cut(const Statement&);
    void heal(const Statement&);
    void silence(const Statement&);
    void behave(const Statement&);
    void leaving(const Statement&);
    void wait(const Statement&);
    void withinVersion(const Statement&);
    void withinLoaded(const Statement&);
    void withinReady(const Statement&);
    void withinKeepers(const Statement&);
    void checkRuns(const Statement&);
    void checkLoads(const Statement&);
    void manyDocuments(const Statement&);
    void control(const Statement&);
    void replaceKeeper(const Statement&);
    void stopAll(const Statement&);

    //==============================================================================
    /** Checks that no engine was overcommitted, no call with an idempotency key ran twice and no replica cap is exceeded. */
    void checkInvariants();
    std::optional<boost::json::object> observe(const std::string& backend);
    std::optional<boost::json::object> status();
    unsigned loadedCount(const std::string& model, const std::string& dataCentre);
    void eventually(const Statement&, const std::function<bool()>& condition, const std::function<std::string()>& seen);
    const CallResult& result(const std::string& label);
    std::optional<HttpResponse> get(const Endpoint&, const std::string& target, const std::string& token = {});
    /** Runs hemlockctl and returns its exit code (-1 after a time-out) and output. */
    std::pair<int, std::string> runControl(std::vector<std::string> arguments);
    void narrate(const std::string& line) const;

    Deployment& m_deployment;
    std::filesystem::path m_documents;
    bool m_narrate;
    HttpClient m_client;
    std::map<std::string, std::future<CallResult>> m_calls;
    std::map<std::string, CallResult> m_results;
    std::map<std::string, std::future<std::pair<int, std::string>>> m_submissions;
    std::map<std::string, unsigned> m_caps;
    bool m_isStarted = false;
    int m_controlRuns = 0;
};

} // namespace hemlockchute::harness
