#pragma once

#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/http/HttpMessage.h"
#include "hemlockchute/router/RequestLifecycle.h"

#include <string>

namespace hemlockchute {

/** A refusal as the caller receives it. */
struct Problem {
    unsigned status = 503;
    std::string title;
    RefusalOutcome outcome = RefusalOutcome::NotRun;
    std::string detail;
    Duration retryAfter = 1s;
};

/** The problem object of docs/PROTOCOLS.md, section 1. Thread safety: any thread. */
ByteString problemJson(const Problem&, const RequestId&);
/** The response with the problem object, and Retry-After for statuses 429 and 503. Thread safety: any thread. */
HttpResponse problemResponse(const Problem&, const RequestId&);
/** The problem for a lifecycle's refusal. Thread safety: any thread. */
Problem problemFor(const LifecycleDecision&, std::string detail);

} // namespace hemlockchute
