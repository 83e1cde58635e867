#pragma once

#include "hemlockchute/keeper/KeeperOperations.h"
#include "hemlockchute/settings/HostSettings.h"

namespace hemlockchute {

/** For each data centre, whether all its hosts with a recent report have a document version in force. */
using InForceReport = std::map<DataCentreName, bool>;

/** Tells where a version, or a newer one, is in force; false for a data centre without any reporting host. Thread safety: any thread. */
InForceReport inForceReport(const SystemStatus&, const std::vector<EntryHostAddress>&, DocumentVersion);

/** A change of the keepers that an operator requests. */
struct MemberChange {
    std::optional<KeeperId> remove;
    std::optional<KeeperAddress> add;
};

/** Reads the body of POST /v1/members; the error is a message for the operator. Thread safety: any thread. */
tl::expected<MemberChange, std::string> parseMemberChange(std::string_view json);

//==============================================================================
/** The JSON bodies of the answers to operators. Thread safety: any thread. */
std::string submitAnswerJson(const SubmitAnswer&, const InForceReport&);
std::string statusJson(const SystemStatus&, const std::vector<EntryHostAddress>&);
std::string runJson(const IdempotencyKey&, const RunAnswer&);
std::string problemJson(unsigned status, std::string_view title, std::string_view detail);

} // namespace hemlockchute
