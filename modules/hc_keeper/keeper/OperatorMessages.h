#pragma once

#include "hemlockchute/keeper/KeeperOperations.h"
#include "hemlockchute/settings/HostSettings.h"

namespace hemlockchute {

/** For each data centre, whether all its hosts heard of lately have a document in force. */
using InForceReport = std::map<DataCentreName, bool>;

/** Where a version, or a newer one, is in force; a data centre of which no host was heard counts as not. Thread safety: any thread. */
InForceReport inForceReport(const SystemStatus&, const std::vector<EntryHostAddress>&, DocumentVersion);

/** A change of the keepers that an operator asks for. */
struct MemberChange {
    std::optional<KeeperId> remove;
    std::optional<KeeperAddress> add;
};

/** Reads the body of POST /v1/members; the error is what a person should read. Thread safety: any thread. */
tl::expected<MemberChange, std::string> parseMemberChange(std::string_view json);

//==============================================================================
/** The bodies of the operators' answers, in JSON. Thread safety: any thread. */
std::string submitAnswerJson(const SubmitAnswer&, const InForceReport&);
std::string statusJson(const SystemStatus&, const std::vector<EntryHostAddress>&);
std::string runJson(const IdempotencyKey&, const RunAnswer&);
std::string problemJson(unsigned status, std::string_view title, std::string_view detail);

} // namespace hemlockchute
