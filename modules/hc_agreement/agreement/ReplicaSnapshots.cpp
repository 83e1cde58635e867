#include "agreement/ReplicaCore.h"

#include <algorithm>

namespace hemlockchute {

/** One chunk is in flight at a time. The reply triggers the next one; each heartbeat resends the current one. */
void Replica::Impl::sendSnapshot(const ReplicaId& to, PeerProgress& peer)
{
    const ReplicaSnapshot& snapshot = log.snapshot();
    if (peer.snapshotIndex != snapshot.lastIndex) {
        peer.snapshotIndex = snapshot.lastIndex;
        peer.snapshotOffset = 0;
    }
    peer.snapshotSent = now;
    ByteString bytes = snapshot.state.substr(peer.snapshotOffset, options.snapshotChunkBytes);
    bool isLast = peer.snapshotOffset + bytes.size() == snapshot.state.size();
    send(to, hardState.term,
        SnapshotChunk { snapshot.lastIndex, snapshot.lastTerm, snapshot.membership, peer.snapshotOffset, std::move(bytes), isLast,
            static_cast<std::uint64_t>(now.time_since_epoch().count()) });
}

void Replica::Impl::handle(const AgreementMessage& message, const SnapshotReply& reply)
{
    auto found = progress.find(message.from);
    if (role != Role::Leader || found == progress.end())
        return;
    PeerProgress& peer = found->second;
    recordReply(peer, reply.sentAt);
    if (peer.next > log.baseIndex() || reply.lastIndex != log.baseIndex() || peer.snapshotIndex != reply.lastIndex)
        return;
    peer.snapshotOffset = std::min<std::uint64_t>(reply.received, log.snapshot().state.size());
    sendSnapshot(message.from, peer);
}

//==============================================================================
void Replica::Impl::handle(const AgreementMessage& message, const SnapshotChunk& chunk)
{
    if (chunk.lastIndex <= committed) {
        send(message.from, hardState.term, AppendReply { true, committed, chunk.sentAt });
        return;
    }
    bool isSame = incomingSnapshot.lastIndex == chunk.lastIndex && incomingSnapshotTerm == message.term;
    if (!isSame)
        incomingSnapshot = { chunk.lastIndex, chunk.lastTerm, chunk.membership, {} };
    incomingSnapshotTerm = message.term;
    bool isNext = chunk.offset == incomingSnapshot.state.size();
    if (isNext)
        incomingSnapshot.state += chunk.bytes;
    if (!isNext || !chunk.isLast) {
        send(message.from, hardState.term, SnapshotReply { chunk.lastIndex, incomingSnapshot.state.size(), chunk.sentAt });
        return;
    }
    install(std::exchange(incomingSnapshot, {}));
    send(message.from, hardState.term, AppendReply { true, committed, chunk.sentAt });
}

/** Keeps the entries after the snapshot only when the log holds the snapshot's last entry; otherwise none of the log is left. */
void Replica::Impl::install(ReplicaSnapshot snapshot)
{
    LogIndex through = snapshot.lastIndex;
    bool keepsTail = log.termAt(through) == snapshot.lastTerm;
    log.install(snapshot);
    std::erase_if(effects.append, [&](const LogEntry& entry) { return !keepsTail || entry.index <= through; });
    std::erase_if(effects.committed, [&](const LogEntry& entry) { return entry.index <= through; });
    if (!keepsTail)
        effects.truncateFrom = LogIndex(1);
    committed = through;
    durable = keepsTail ? std::max(durable, through) : through;
    persisting = keepsTail ? std::max(persisting, through) : through;
    effects.install = std::move(snapshot);
}

} // namespace hemlockchute
