#include "agreement/ReplicaCore.h"

#include <algorithm>
#include <functional>

namespace hemlockchute {
namespace {

constexpr Duration::rep perMille = 1000;

} // namespace

//==============================================================================
// Follower

void Replica::Impl::handle(const AgreementMessage& message, const AppendRequest& request)
{
    if (request.acknowledged > log.lastIndex()) {
        isRetired = true;
        effects.isOutdated = true;
        return;
    }
    bool isCovered = request.previousIndex < log.baseIndex();
    bool fits = isCovered || log.termAt(request.previousIndex) == request.previousTerm;
    if (!fits) {
        rejectAppend(message, request);
        return;
    }
    mergeEntries(request.entries);
    LogIndex matched(request.previousIndex.value() + request.entries.size());
    commitThrough(std::min(request.committed, matched));
    send(message.from, hardState.term, AppendReply { true, matched, request.sentAt });
}

/** Tells the leader where to retry: before the run of entries with the conflicting term. */
void Replica::Impl::rejectAppend(const AgreementMessage& message, const AppendRequest& request)
{
    LogIndex hint = log.lastIndex();
    if (request.previousIndex <= hint)
        hint = LogIndex(log.firstIndexOfTerm(request.previousIndex).value() - 1);
    hint = std::max(hint, committed);
    send(message.from, hardState.term, AppendReply { false, hint, request.sentAt });
}

void Replica::Impl::mergeEntries(const std::vector<LogEntry>& entries)
{
    for (const LogEntry& entry : entries) {
        if (entry.index <= log.baseIndex() || log.termAt(entry.index) == entry.term)
            continue;
        if (entry.index <= log.lastIndex())
            truncateFrom(entry.index);
        appendEntry(entry);
    }
}

//==============================================================================
// Leader

void Replica::Impl::broadcast()
{
    needsBroadcast = false;
    lastBroadcast = now;
    for (auto& [id, peer] : progress) {
        if (peer.next > log.baseIndex())
            sendAppend(id, peer);
        else if (!peer.snapshotSent || now >= *peer.snapshotSent + options.heartbeatInterval)
            sendSnapshot(id, peer);
    }
}

/** Advances `next` without waiting for the reply; after a lost message a rejection resets it. */
void Replica::Impl::sendAppend(const ReplicaId& to, PeerProgress& peer)
{
    LogIndex previous(peer.next.value() - 1);
    AppendRequest request { previous, *log.termAt(previous), log.slice(peer.next, options.maximumEntriesPerMessage, options.maximumBytesPerMessage),
        committed, static_cast<std::uint64_t>(now.time_since_epoch().count()), peer.matched };
    peer.next = LogIndex(peer.next.value() + request.entries.size());
    send(to, hardState.term, std::move(request));
}

void Replica::Impl::handle(const AgreementMessage& message, const AppendReply& reply)
{
    auto found = progress.find(message.from);
    if (role != Role::Leader || found == progress.end())
        return;
    PeerProgress& peer = found->second;
    recordReply(peer, reply.sentAt);
    if (!reply.accepted) {
        peer.next = std::max(peer.matched, std::min(reply.matched, log.lastIndex())).next();
        needsBroadcast = true;
        return;
    }
    peer.matched = std::max(peer.matched, reply.matched);
    peer.next = std::max(peer.next, peer.matched.next());
    if (peer.next <= log.lastIndex())
        needsBroadcast = true;
    advanceCommitted();
}

void Replica::Impl::recordReply(PeerProgress& peer, std::uint64_t sentAt)
{
    Instant sent { Duration(static_cast<Duration::rep>(sentAt)) };
    if (!peer.lastAcknowledgedSend || sent > *peer.lastAcknowledgedSend)
        peer.lastAcknowledgedSend = sent;
}

/** Only an entry of the leader's own term commits by counting replicas; earlier ones commit with it. */
void Replica::Impl::advanceCommitted()
{
    std::vector<LogIndex> matched;
    for (const ReplicaId& voter : log.membership().voters) {
        auto peer = progress.find(voter);
        if (voter == self)
            matched.push_back(durable);
        else
            matched.push_back(peer == progress.end() ? LogIndex() : peer->second.matched);
    }
    std::sort(matched.begin(), matched.end(), std::greater<>());
    LogIndex reached = matched[quorum() - 1];
    if (reached <= committed || log.termAt(reached) != hardState.term)
        return;
    commitThrough(reached);
    needsBroadcast = true;
    if (!isVoter() && log.membershipIndex() <= committed) {
        broadcast();
        becomeFollower(hardState.term, std::nullopt);
    }
}

void Replica::Impl::refreshProgress()
{
    std::set<ReplicaId> others = log.membership().voters;
    others.insert(log.membership().learners.begin(), log.membership().learners.end());
    others.erase(self);
    std::erase_if(progress, [&](const auto& item) { return !others.contains(item.first); });
    for (const ReplicaId& id : others)
        progress.try_emplace(id, PeerProgress { log.lastIndex().next(), {}, {}, {}, 0, {} });
}

std::optional<Instant> Replica::Impl::lastQuorumContact() const
{
    std::vector<Instant> answered;
    for (const ReplicaId& voter : log.membership().voters) {
        auto peer = progress.find(voter);
        if (voter == self)
            answered.push_back(now);
        else if (peer != progress.end() && peer->second.lastAcknowledgedSend)
            answered.push_back(*peer->second.lastAcknowledgedSend);
    }
    if (answered.size() < quorum())
        return std::nullopt;
    std::sort(answered.begin(), answered.end(), std::greater<>());
    return answered[quorum() - 1];
}

bool Replica::Impl::holdsLease() const
{
    std::optional<Instant> answered = lastQuorumContact();
    Duration lease = options.electionTimeout * (perMille - static_cast<Duration::rep>(options.clockDriftPerMille)) / perMille;
    return role == Role::Leader && answered && now < *answered + lease;
}

} // namespace hemlockchute
