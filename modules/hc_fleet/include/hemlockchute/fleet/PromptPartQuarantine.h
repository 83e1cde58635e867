#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Identifiers.h"
#include "hemlockchute/core/ServerIncarnation.h"
#include "hemlockchute/fleet/RequestMetadata.h"
#include "hemlockchute/http/HttpMessage.h"

#include <map>
#include <optional>
#include <vector>

namespace hemlockchute {

/** A hash of a prompt part's id. */
using PromptPartKey = NumberId<struct PromptPartKeyTag>;

/**
    A hash of a request's method, host, path and body, which stay the same if its caller sends it again. Not of the
    caller's address, since a caller may return from another one.

    Of the type of the parts' keys, since both are suspected in the same way; no key of a part is one of a request.
*/
using RequestKey = PromptPartKey;

/** Thread safety: any thread. */
RequestKey requestKeyOf(const HttpRequest&);
/** Thread safety: any thread. */
bool isRequestKey(PromptPartKey);

/** The keys of the parts that the request may share with others: all except the last. Thread safety: any thread. */
std::vector<PromptPartKey> sharedPartKeys(const RequestMetadata&);

/** A request that was at a server when that server ended, and had not begun to be answered. */
struct ServerCrash {
    ServerIncarnation server;
    /** The request's own key, if known, and those of its parts. */
    std::vector<PromptPartKey> parts;
    /** When the request was sent to the server, and when its connection broke. */
    Instant sent {};
    Instant ended {};
};

/** A prompt part with which the server began to write an answer. */
struct PartProgress {
    PromptPartKey part;
    Instant at {};
};

/** A prompt part under suspicion. */
struct SuspectPart {
    PromptPartKey part;
    /** True if requests with it must not be sent; false if they must not be resent. */
    bool isQuarantined = false;
    /** Time until a request with it may be let through as a trial. */
    Duration untilTrial {};
    /** Trials that failed so far, over all parts; 0 if none of this part did. */
    unsigned failedTrials = 0;

    friend bool operator==(const SuspectPart&, const SuspectPart&) = default;
};

/** What hosts report about prompt parts to the leader. */
struct PromptPartReport {
    std::vector<ServerCrash> crashes;
    std::vector<PartProgress> progress;
    /** The quarantined parts of each request that was refused because of them, once each. */
    std::vector<std::vector<PromptPartKey>> refused;
    /** Parts that the host knows to be quarantined, from which a new leader learns of them and of their trials. */
    std::vector<SuspectPart> quarantined;
};

//==============================================================================
/**
    Finds requests, and prompt parts, that crash every server that begins to answer them, and quarantines them.

    Load pattern: one kind of request ends one server after the other, since it is retried by hosts
    and callers. A part is quarantined after several crashes in a row, on different servers, each of a
    request that was sent after the crash before. Requests that were at several servers when all of
    them ended count once. An answer that is begun clears each part of its request of the crashes
    before it, so parts that are common in sound requests are cleared by the other requests with them.

    Crashes under one request that its caller repeats tell nothing of the parts that it shares with others:
    a part is quarantined only after crashes under different requests, and the request itself otherwise.
    Among requests that were at the servers that crashed, the one that was at more of them is to blame: once
    it is quarantined, these crashes do not count against the others, nor against their parts.

    A quarantine ends with a trial: one request with the part is let through. Trials of parts that keep
    crashing servers become rarer, over all parts together. Parts that no request holds without the
    other are tried together, later than parts that come alone.

    Thread safety: one thread at a time.
*/
class PromptPartQuarantine {
public:
    struct Options {
        /** Consecutive crashes after which a part is quarantined, and after which its requests are not resent. */
        unsigned crashesUntilQuarantine = 3;
        unsigned crashesUntilSuspect = 2;
        /** Evidence against a part is dropped after this time without another crash. */
        Duration evidenceLifetime = 60s;
        /** A quarantine is dropped after this time without a request with the part. */
        Duration quarantineLifetime = 10min;
        /** The first trial of a part comes soon, since the part may have stood beside the one at fault. */
        Duration firstTrialDelay = 500ms;
        /** Time from a trial that crashed its server to the next one of any part; doubles with each further one that fails. */
        Duration trialInterval = 8s;
        /** Time from a trial without an outcome, as when no server ran it, to the next one of its part; doubles with each of them. */
        Duration openTrialInterval = 2s;
        Duration maximumTrialInterval = 5min;
        /** A request with several quarantined parts waits this much longer for each further part, since a crash would not tell which of them is at fault. */
        Duration jointTrialDelay = 2s;
        /** Time from the quarantine of a request, or a trial of it, to the next trial; multiplied with each one that crashed its server. Nobody misses a request that crashes servers. */
        Duration requestTrialInterval = 1min;
        unsigned requestTrialFactor = 4;
        Duration maximumRequestTrialInterval = 1h;
        /** Requests with more quarantined parts than this are no trials. */
        std::size_t maximumJointParts = 4;
        /** How long an answer that was begun is remembered. Reports of earlier crashes are ignored, since an answer after them may be forgotten. */
        Duration progressLifetime = 10s;
        /** Bound on the parts that are remembered; beyond it an eighth of them is dropped, the oldest first. */
        std::size_t maximumParts = 16384;
    };

    explicit PromptPartQuarantine(Options options)
        : m_options(options)
    {
    }

    /** Records a crash; returns the parts that are quarantined because of it. */
    std::vector<PromptPartKey> noteCrash(const ServerCrash&, Instant now);
    /** Records that an answer was begun; true if that ends a quarantine. */
    bool noteProgress(const PartProgress&, Instant now);
    /** True if a crash was recorded against it and no answer was begun since. */
    bool isAccused(PromptPartKey part) const { return m_records.contains(part); }
    /** Takes over a quarantine and its trials from another host's records, unless an answer was begun since; true if it is new. */
    bool adopt(const SuspectPart&, Instant now);

    bool isQuarantined(PromptPartKey) const;
    /** True if the part is quarantined or likely to be soon. */
    bool isSuspect(PromptPartKey) const;
    /** All suspect parts, in order of their keys. */
    std::vector<SuspectPart> suspects(Instant now) const;
    /** Notes that a request was refused because of these quarantined parts; true if one with exactly these may be let through now as a trial. */
    bool takeTrial(const std::vector<PromptPartKey>&, Instant now);
    /** When a request with the part may be served; nothing if it is not quarantined. */
    std::optional<Instant> nextTrial(PromptPartKey) const;
    /** Drops outdated records, at most once a second. */
    void expire(Instant now);

private:
    struct Record {
        struct Crash {
            ServerIncarnation server;
            /** None if the crash was reported without it. */
            RequestKey request;
            Instant sent {};
            Instant ended {};
        };

        std::vector<Crash> crashes;
        Instant lastCrash {};
        /** The number of crashes that followed each other. */
        unsigned consecutiveCrashes = 0;
        bool isQuarantined = false;
        /** Trials without an outcome since the last one that failed, and when the last of them was permitted. */
        unsigned openTrials = 0;
        Instant lastTrial {};
        bool hasFailedTrial = false;
        /** Of a request: trials of it that crashed their server. */
        unsigned failedRequestTrials = 0;
        Instant nextTrial {};
        Instant lastSeen {};
    };

    /** For each server, the quarantined requests that were there when it crashed, and at how many servers that happened to them. */
    using Culprits = std::multimap<ServerIncarnation, std::pair<RequestKey, std::size_t>>;

    Culprits culprits() const;
    std::size_t crashesOf(RequestKey) const;
    bool isExplained(const Record::Crash&, const Culprits&) const;
    unsigned countConsecutive(PromptPartKey, const std::vector<Record::Crash>&, const Culprits&) const;
    bool evaluate(PromptPartKey, Record&, const Culprits&, Instant now);
    std::vector<PromptPartKey> evaluateAll(Instant now);
    void quarantine(PromptPartKey, Record&, Instant now) const;
    bool delayTrials(PromptPartKey, Record&, Instant ended);
    Duration requestTrialInterval(const Record&) const;
    void noteFailedTrial(const std::vector<Record*>& tried, Instant ended);
    Duration trialInterval() const;
    static Duration doubled(Duration, unsigned times, Duration maximum);
    void limitSize();

    Options m_options;
    std::map<PromptPartKey, Record> m_records;
    std::map<PromptPartKey, Instant> m_progress;
    /** Trials that failed after the first failed trial of their part. */
    unsigned m_failedTrials = 0;
    Instant m_nextRepeatedTrial {};
    Instant m_nextExpiry {};
};

} // namespace hemlockchute
