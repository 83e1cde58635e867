#pragma once

#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/http/HttpMessage.h"
#include "hemlockchute/router/RequestLifecycle.h"

#include <string>

namespace hemlockchute {

/** A refusal as the caller reads it. */
struct Problem {
    unsigned status = 503;
    std::string title;
    RefusalOutcome outcome = RefusalOutcome::NotRun;
    std::string detail;
    Duration retryAfter = 1s;
};

/** The problem object of docs/PROTOCOLS.md, section 1. Thread safety: any thread. */
ByteString problemJson(const Problem&, const RequestId&);
/** The whole answer, with Retry-After where it belongs. Thread safety: any thread. */
HttpResponse problemResponse(const Problem&, const RequestId&);
/** What a lifecycle's refusal is called. Thread safety: any thread. */
Problem problemFor(const LifecycleDecision&, std::string detail);

} // namespace hemlockchute
