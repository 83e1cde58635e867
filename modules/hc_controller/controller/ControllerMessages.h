#pragma once

#include "hemlockchute/controller/OrderBook.h"
#include "hemlockchute/core/Errors.h"
#include "hemlockchute/policy/RateShare.h"

#include <string_view>
#include <vector>

namespace hemlockchute {

enum class ControllerMessageError {
    Malformed
};

/** PeerMethod::PromiseTerm: a question for a promise, or word that the term was given up. */
struct PromiseRequest {
    FencingNumber fencing;
    Duration length {};
    bool isReleased = false;
};

struct PromiseReply {
    bool isPromised = false;
};

/** PeerMethod::ExchangeShares, both ways: reports on the fleet-wide limits, by their order. */
struct ShareMessage {
    DataCentreName dataCentre;
    /** False from a controller that does not lead; `leader` then says who does, if known. */
    bool isLeader = false;
    HostName leader;
    std::vector<ShareReport> reports;
};

/** What controllers say to each other, as Cap'n Proto messages. Thread safety: any thread. */
ByteString encodeOrderRecord(const OrderRecord&);
Result<OrderRecord, ControllerMessageError> decodeOrderRecord(std::string_view bytes);
ByteString encodePromiseRequest(const PromiseRequest&);
Result<PromiseRequest, ControllerMessageError> decodePromiseRequest(std::string_view bytes);
ByteString encodePromiseReply(const PromiseReply&);
Result<PromiseReply, ControllerMessageError> decodePromiseReply(std::string_view bytes);
ByteString encodeShareMessage(const ShareMessage&);
Result<ShareMessage, ControllerMessageError> decodeShareMessage(std::string_view bytes);

} // namespace hemlockchute
