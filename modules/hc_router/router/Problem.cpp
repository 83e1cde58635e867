#include "router/Problem.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace hemlockchute {
namespace {

struct StatusTitle {
    unsigned status;
    const char* title;
};

constexpr StatusTitle titles[] = {
    { 400, "The request cannot be understood" },
    { 404, "There is no such thing" },
    { 405, "The method is not allowed" },
    { 409, "The key was used for another request" },
    { 429, "Too many requests are waiting" },
    { 502, "No backend server gave a whole answer" },
    { 503, "No backend server can take the request" },
    { 504, "The deadline passed" }
};

std::string titleFor(unsigned status)
{
    const auto* found = std::find_if(std::begin(titles), std::end(titles), [&](const StatusTitle& row) { return row.status == status; });
    return found == std::end(titles) ? "The request was refused" : found->title;
}

bool hasRetryAfter(unsigned status)
{
    return status == 429 || status == 503;
}

} // namespace

ByteString problemJson(const Problem& problem, const RequestId& request)
{
    boost::json::object body;
    body["type"] = "about:blank";
    body["title"] = problem.title.empty() ? titleFor(problem.status) : problem.title;
    body["status"] = problem.status;
    body["outcome"] = problem.outcome == RefusalOutcome::NotRun ? "not-run" : "outcome-unknown";
    body["detail"] = problem.detail;
    body["request_id"] = request.text();
    return boost::json::serialize(body);
}

HttpResponse problemResponse(const Problem& problem, const RequestId& request)
{
    HttpResponse response;
    response.status = problem.status;
    response.headers.set("Content-Type", "application/problem+json");
    response.headers.set("X-Request-Id", request.text());
    if (hasRetryAfter(problem.status)) {
        auto seconds = std::chrono::ceil<std::chrono::seconds>(problem.retryAfter);
        response.headers.set("Retry-After", std::to_string(std::max<std::int64_t>(1, seconds.count())));
    }
    response.body = problemJson(problem, request);
    return response;
}

Problem problemFor(const LifecycleDecision& decision, std::string detail)
{
    Problem problem;
    problem.status = decision.status;
    problem.outcome = decision.outcome;
    problem.detail = std::move(detail);
    return problem;
}

} // namespace hemlockchute
