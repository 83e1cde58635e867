#include "hemlockchute/core/Digest.h"
#include "hemlockchute/fleet/CompressedConfiguration.h"
#include "hemlockchute/fleet/ConfigurationAssembler.h"
#include "hemlockchute/fleet/FleetTable.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <rapidcheck.h>

using namespace hemlockchute;

namespace {

/** JSON of routes with names that compress badly; some 300 bytes a route. */
ByteString routes(unsigned count)
{
    ByteString body = "{\"routes\":[";
    for (unsigned i = 0; i < count; ++i) {
        std::string name = Digest::of(std::to_string(i)).text();
        body += R"({"name":"customer-)" + name;
        body += R"(","host":"api.example","prefix":"/v1/customers/)" + name;
        body += R"(/requests/","kind":"safe","timeout":3000,"targetLatency":100,"rank":1,"service":"api","maximumAttempts":2,"retries":true,"resumable":false,"gapTargetMs":300,"public":false,"maxBodyBytes":4000000},)";
    }
    return body + "{}]}";
}

ConfigurationBody body(std::uint64_t version, ByteString text) { return { ConfigurationVersion(version), std::move(text) }; }

/** A host that receives configurations. */
struct Receiver {
    FollowRequest request()
    {
        FollowRequest request;
        request.configuration = version;
        assembler.fill(request);
        return request;
    }

    /** Applies the reply; returns the body once it is complete. */
    std::optional<ByteString> apply(const FollowReply& reply)
    {
        if (reply.version <= version)
            return std::nullopt;
        auto received = assembler.receive(reply);
        isDamaged = !received;
        fault = received ? "" : received.error().detail;
        if (!received || !*received)
            return std::nullopt;
        version = reply.version;
        return **received;
    }

    std::optional<ByteString> poll(CompressedConfiguration& sender, const ConfigurationBody& sent)
    {
        FollowReply reply;
        sender.fill(reply, request(), sent);
        return apply(reply);
    }

    ConfigurationVersion version;
    ConfigurationAssembler assembler { ConfigurationAssembler::Options() };
    bool isDamaged = false;
    std::string fault;
};

FollowReply replyTo(CompressedConfiguration& sender, const FollowRequest& request, const ConfigurationBody& sent)
{
    FollowReply reply;
    sender.fill(reply, request, sent);
    return reply;
}

ListedServer server(unsigned number)
{
    ListedServer server;
    server.id = BackendServerName("server-" + std::to_string(number));
    server.service = ServiceName("llm");
    server.address = *parseEndpoint("10.1.2.3:8080");
    server.dataCentre = DataCentreName("z1");
    for (unsigned model = 0; model < 4; ++model)
        server.models[ModelName("model-" + std::to_string(number + model))] = { AdapterName("adapter") };
    return server;
}

/** What a link of 10 Mbit/s carries in a tenth of the 500 ms that a poll may take. */
constexpr std::size_t maximumReplyBytes = 64U << 10U;

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationTransferTests)

/** Guards against a reply that a slow link cannot carry within the time-out of a poll, and against a list of servers that looks incomplete while a configuration arrives. */
BOOST_AUTO_TEST_CASE(aLargeConfigurationAndAFullListArriveInRepliesOfBoundedSize)
{
    constexpr unsigned servers = 250;
    ConfigurationBody sent = body(7, routes(5000));
    BOOST_TEST(sent.body.size() > 1'400'000U);
    CompressedConfiguration sender { CompressedConfiguration::Options() };
    FleetTable table { FleetTable::Options() };
    table.beginEpoch(1);
    for (unsigned number = 0; number < servers; ++number)
        table.put(server(number));
    Receiver receiver;
    FleetTable copy { FleetTable::Options() };
    std::optional<ByteString> received;
    unsigned replies = 0;
    unsigned repliesOfList = 0;
    bool hasMore = true;
    while (hasMore && replies < 100) {
        FollowRequest request = receiver.request();
        request.epoch = copy.epoch();
        request.revision = copy.revision();
        FollowReply reply;
        table.fill(reply, request);
        sender.fill(reply, request, sent);
        ByteString bytes = encodeFollowReply(reply);
        BOOST_TEST(bytes.size() <= maximumReplyBytes);
        auto arrived = decodeFollowReply(bytes);
        BOOST_REQUIRE(arrived);
        copy.apply(*arrived);
        ++replies;
        repliesOfList += arrived->hasMoreServers() ? 1 : 0;
        BOOST_TEST((arrived->hasMoreServers() || copy.revision() == table.revision()));
        received = receiver.apply(*arrived);
        hasMore = arrived->hasMore;
    }
    BOOST_TEST((received == sent.body));
    BOOST_TEST(repliesOfList == 2U);
    BOOST_TEST(replies <= 10U);
}

BOOST_AUTO_TEST_CASE(aSmallConfigurationArrivesUncompressedInOneReply)
{
    CompressedConfiguration sender { CompressedConfiguration::Options() };
    ConfigurationBody sent = body(1, routes(100));
    FollowReply reply;
    reply.hasMore = true;
    sender.fill(reply, {}, sent);
    BOOST_TEST((reply.configuration == sent.body && reply.configurationSize == 0 && reply.hasMoreServers()));
    Receiver receiver;
    BOOST_TEST((receiver.apply(reply) == sent.body));
    BOOST_TEST(replyTo(sender, receiver.request(), sent).configuration.empty());
}

/** Guards against a coordinator that is busy compressing when all its gateways ask for a new version. */
BOOST_AUTO_TEST_CASE(aVersionIsCompressedOnceForAllRequesters)
{
    CompressedConfiguration sender { CompressedConfiguration::Options() };
    for (std::uint64_t version : { 1U, 2U }) {
        ConfigurationBody sent = body(version, routes(1000 + static_cast<unsigned>(version)));
        std::vector<Receiver> receivers(20);
        while (receivers.back().version.isNone()) {
            for (Receiver& receiver : receivers)
                receiver.poll(sender, sent);
        }
        BOOST_TEST(sender.compressions() == version);
    }
}

BOOST_AUTO_TEST_CASE(aNewerVersionRestartsTheTransferAndAnOlderOneDoesNot)
{
    CompressedConfiguration sender(CompressedConfiguration::Options().withPartBytes(1000));
    CompressedConfiguration lagging(CompressedConfiguration::Options().withPartBytes(1000));
    ConfigurationBody first = body(1, routes(100));
    ConfigurationBody second = body(2, routes(101));
    Receiver receiver;
    receiver.poll(sender, first);
    receiver.poll(sender, second);
    FollowRequest request = receiver.request();
    BOOST_TEST((request.configurationPartOf == second.version && request.configurationOffset == 1000));
    receiver.poll(lagging, first);
    BOOST_TEST(!receiver.assembler.expectsMore());
    request = receiver.request();
    BOOST_TEST((request.configurationPartOf == second.version && request.configurationOffset == 1000));
    receiver.poll(sender, second);
    BOOST_TEST(receiver.request().configurationOffset == 2000U);
}

/** Guards against a host that gets no configuration at all when the only coordinator in reach does not know the version of which parts have arrived. */
BOOST_AUTO_TEST_CASE(anOlderVersionIsTakenWhenNoPartOfTheNewerOneArrivesAnyMore)
{
    CompressedConfiguration sender(CompressedConfiguration::Options().withPartBytes(1000));
    ConfigurationBody first = body(1, routes(100));
    Receiver receiver;
    receiver.poll(sender, body(2, routes(101)));
    std::optional<ByteString> received;
    for (int i = 0; i < 100 && !received; ++i)
        received = receiver.poll(sender, first);
    BOOST_TEST((received == first.body));
}

BOOST_AUTO_TEST_CASE(aPartThatDoesNotFitIsDroppedAndTheTransferRestarts)
{
    CompressedConfiguration sender(CompressedConfiguration::Options().withPartBytes(1000));
    ConfigurationBody sent = body(1, routes(100));
    Receiver receiver;
    receiver.poll(sender, sent);
    FollowReply next = replyTo(sender, receiver.request(), sent);
    FollowReply other = next;
    ++other.configurationSize;
    for (const FollowReply& misfit : { other, next }) {
        BOOST_TEST(!receiver.apply(misfit));
        BOOST_TEST((!receiver.isDamaged && !receiver.assembler.expectsMore()));
        BOOST_TEST((receiver.request().configurationPartOf.isNone() && receiver.request().configurationOffset == 0));
    }
    // A first part that is repeated must not make the receiver poll without a pause.
    FollowReply first = replyTo(sender, receiver.request(), sent);
    receiver.apply(first);
    BOOST_TEST(receiver.assembler.expectsMore());
    receiver.apply(first);
    BOOST_TEST((!receiver.assembler.expectsMore() && receiver.request().configurationOffset == 1000));
    std::optional<ByteString> received;
    while (!received)
        received = receiver.poll(sender, sent);
    BOOST_TEST((received == sent.body));
}

/** Guards against memory that a small compressed body could exhaust. */
BOOST_AUTO_TEST_CASE(aBodyBeyondTheLimitIsAnError)
{
    constexpr std::size_t limit = 1'000'000;
    CompressedConfiguration sender { CompressedConfiguration::Options() };
    for (std::size_t size : { limit, limit + 1, 100 * limit }) {
        ConfigurationBody sent = body(size, ByteString(size, ' '));
        ConfigurationAssembler assembler(ConfigurationAssembler::Options().withMaximumBytes(limit));
        std::optional<ByteString> received;
        bool isError = false;
        for (int i = 0; i < 100 && !received && !isError; ++i) {
            FollowRequest request;
            assembler.fill(request);
            auto result = assembler.receive(replyTo(sender, request, sent));
            isError = !result;
            if (result)
                received = std::move(*result);
        }
        BOOST_TEST(isError == (size > limit));
        BOOST_TEST(received.has_value() == (size <= limit));
    }
    FollowReply oversized;
    oversized.version = ConfigurationVersion(1);
    oversized.configuration = "part";
    oversized.configurationSize = limit + 1;
    ConfigurationAssembler assembler(ConfigurationAssembler::Options().withMaximumBytes(limit));
    BOOST_TEST(!assembler.receive(oversized));
}

/** Raw deflate has no checksum: guards against a changed byte that decompresses to another configuration. */
BOOST_AUTO_TEST_CASE(damagedDataIsAnErrorAndTheTransferRestarts)
{
    bool holds = rc::check("one changed byte", [] {
        CompressedConfiguration sender(CompressedConfiguration::Options().withPartBytes(700));
        ConfigurationBody sent = body(1, routes(20));
        Receiver receiver;
        FollowReply reply = replyTo(sender, receiver.request(), sent);
        std::uint64_t damaged = *rc::gen::inRange<std::uint64_t>(0, reply.configurationSize);
        auto change = *rc::gen::inRange(1, 256);
        // The unused bits of the last byte of the deflate stream have no effect.
        std::optional<ByteString> received;
        while (!receiver.isDamaged && !received) {
            reply = replyTo(sender, receiver.request(), sent);
            if (damaged >= reply.configurationOffset && damaged < reply.configurationOffset + reply.configuration.size()) {
                char& byte = reply.configuration[damaged - reply.configurationOffset];
                byte = static_cast<char>(byte ^ change);
            }
            received = receiver.apply(reply);
        }
        if (received) {
            RC_ASSERT(received == sent.body);
            return;
        }
        RC_ASSERT(!receiver.assembler.expectsMore() && receiver.request().configurationOffset == 0);
        while (!received)
            received = receiver.poll(sender, sent);
        RC_ASSERT(received == sent.body);
    });
    BOOST_TEST(holds);
}

namespace {

/** Two coordinators, of which one may lag behind, a receiver, and the messages between them. */
struct LossyTransfer {
    static constexpr std::size_t partBytes = 100;

    LossyTransfer() { publish(); }

    void publish()
    {
        auto size = *rc::gen::inRange<std::size_t>(1, 2000);
        bool isRandom = *rc::gen::arbitrary<bool>();
        ByteString text(size, 'x');
        if (isRandom)
            text = *rc::gen::container<std::string>(size, rc::gen::arbitrary<char>());
        published.push_back(body(published.size() + 1, std::move(text)));
    }

    /** Takes a random message out of the queue, or leaves a copy in it. */
    template <typename Message>
    static Message take(std::deque<Message>& queue)
    {
        auto at = queue.begin() + *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(queue.size()));
        Message message = *at;
        bool isRepeated = *rc::gen::inRange(0, 4) == 0;
        if (!isRepeated)
            queue.erase(at);
        return message;
    }

    void answer(std::size_t coordinator)
    {
        FollowRequest request = take(requests);
        replies.push_back(replyTo(coordinators[coordinator], request, published[known[coordinator]]));
        RC_ASSERT(replies.back().configuration.size() <= partBytes);
    }

    void deliver(const FollowReply& reply)
    {
        ConfigurationVersion before = receiver.version;
        auto received = receiver.apply(reply);
        RC_LOG() << receiver.fault;
        RC_ASSERT(!receiver.isDamaged);
        if (!received)
            return;
        RC_ASSERT(receiver.version > before);
        RC_ASSERT(*received == published[receiver.version.value() - 1].body);
    }

    void step()
    {
        std::size_t coordinator = *rc::gen::inRange<std::size_t>(0, 2);
        switch (*rc::gen::inRange(0, 20)) {
        case 0:
            publish();
            break;
        case 1:
            known[coordinator] = published.size() - 1;
            break;
        case 2:
            requests.clear();
            break;
        case 3:
            replies.clear();
            break;
        default:
            requests.push_back(receiver.request());
            if (*rc::gen::inRange(0, 10) > 0)
                answer(coordinator);
            if (!replies.empty() && *rc::gen::inRange(0, 10) > 0)
                deliver(take(replies));
        }
    }

    /** Polls the coordinators without a loss; returns the number of polls until the newest version is in force. */
    std::size_t settle(bool usesBoth)
    {
        known = { published.size() - 1, published.size() - 1 };
        std::size_t polls = 0;
        for (; receiver.version != published.back().version && polls < 1000; ++polls)
            deliver(replyTo(coordinators[usesBoth ? polls % 2 : 0], receiver.request(), published.back()));
        return polls;
    }

    std::vector<ConfigurationBody> published;
    std::array<CompressedConfiguration, 2> coordinators { CompressedConfiguration(CompressedConfiguration::Options().withPartBytes(partBytes)), CompressedConfiguration(CompressedConfiguration::Options().withPartBytes(partBytes)) };
    /** The index of the version that each coordinator knows. */
    std::array<std::size_t, 2> known {};
    std::deque<FollowRequest> requests;
    std::deque<FollowReply> replies;
    Receiver receiver;
};

} // namespace

/** Guards against a body put together from parts of two versions, and against a transfer that never ends. */
BOOST_AUTO_TEST_CASE(underLossesRepeatsAndReorderingOnlySentBodiesArriveAndTheNewestDoesInTheEnd)
{
    bool holds = rc::check("any exchange of messages", [] {
        LossyTransfer transfer;
        auto steps = *rc::gen::inRange(0, 150);
        for (int i = 0; i < steps; ++i)
            transfer.step();
        std::size_t parts = 1 + (transfer.published.back().body.size() + 100) / LossyTransfer::partBytes;
        RC_ASSERT(transfer.settle(*rc::gen::arbitrary<bool>()) <= parts);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
