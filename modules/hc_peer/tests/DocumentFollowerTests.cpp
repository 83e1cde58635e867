#include "PeerFixture.h"
#include "hemlockchute/peer/DocumentFollower.h"

#include <boost/test/unit_test.hpp>

using namespace hemlockchute;

namespace {

std::string documentTextWith(unsigned models, unsigned replicas = 1)
{
    std::string text = "[team.counter]\n[[team.counter.ranks]]\nname = \"counter\"\norder = 0\n[team.office]\n";
    for (unsigned i = 0; i < models; ++i)
        text += "[[team.office.models]]\nname = \"m" + std::to_string(i) + "\"\nreplicas = " + std::to_string(replicas) + "\nmemory = \"1GiB\"\n";
    return text;
}

DocumentPointer document(std::uint64_t version, unsigned models)
{
    auto parsed = parseDocument(documentTextWith(models), DocumentVersion(version));
    BOOST_REQUIRE(parsed);
    return std::make_shared<const Document>(*parsed);
}

/** A process with a source, the server that serves it, and a client for its follower. */
struct Node {
    Node(boost::asio::io_context& context, const std::string& name)
        : source(context)
        , server(context, identity(name))
        , client(context, identity(name), {})
    {
        server.handle(PeerMethod::FollowDocument, [this](PeerCall call) { source.serve(std::move(call)); });
        endpoint = *server.listen(anyLoopbackPort);
    }

    void follow(boost::asio::io_context& context, const std::string& name, std::vector<Endpoint> sources)
    {
        follower = std::make_unique<DocumentFollower>(context, client, source, HostName(name), std::move(sources));
        follower->start();
    }

    void waitFor(std::uint64_t version) const
    {
        while (source.current()->version < DocumentVersion(version))
            std::this_thread::sleep_for(2ms);
    }

    DocumentSource source;
    PeerServer server;
    PeerClient client;
    Endpoint endpoint;
    std::unique_ptr<DocumentFollower> follower;
};

FollowReply follow(Node& node, const Endpoint& endpoint, FollowRequest request)
{
    auto bytes = callAndWait(node.client, endpoint, PeerMethod::FollowDocument, encodeFollowRequest(request));
    return decodeFollowReply(bytes.value()).value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(DocumentFollowerTests)

BOOST_AUTO_TEST_CASE(VersionsOnlyRise)
{
    RunningContext running;
    DocumentSource source(running.context);
    BOOST_TEST(source.current()->version.isNone());
    BOOST_TEST(source.offer(document(5, 1)));
    BOOST_TEST(!source.offer(document(4, 2)));
    BOOST_TEST(!source.offer(document(5, 2)));
    BOOST_TEST(source.current()->models.size() == 1U);
    running.stop();
}

BOOST_AUTO_TEST_CASE(FollowersBehindGetADeltaOrTheWholeText)
{
    RunningContext running;
    Node node(running.context, "keeper");
    DocumentPointer first = document(1, 1);
    node.source.offer(first);
    node.source.offer(document(2, 3));
    FollowReply whole = follow(node, node.endpoint, {});
    BOOST_TEST(whole.text.has_value());
    FollowReply delta = follow(node, node.endpoint, { first->version, first->digest, {} });
    BOOST_REQUIRE(delta.delta);
    BOOST_TEST(delta.delta->sections.size() == 1U);
    FollowReply corrupt = follow(node, node.endpoint, { first->version, Digest(1, 1), {} });
    BOOST_TEST(corrupt.text.has_value());
    FollowReply newest = follow(node, node.endpoint, { DocumentVersion(2), node.source.current()->digest, {} });
    BOOST_TEST(!newest.text.has_value());
    BOOST_TEST(!newest.delta.has_value());
    running.stop();
}

BOOST_AUTO_TEST_CASE(ARelayForwardsDocumentsAndReportsTheVersionsInForce)
{
    RunningContext running;
    Node keeper(running.context, "keeper");
    Node relay(running.context, "relay");
    Node router(running.context, "router");
    relay.follow(running.context, "relay", { keeper.endpoint });
    router.follow(running.context, "router", { relay.endpoint, keeper.endpoint });
    for (unsigned version = 1; version <= 20; ++version) {
        keeper.source.offer(document(version, version));
        if (version % 7 == 0)
            router.waitFor(version);
    }
    router.waitFor(20);
    BOOST_TEST(router.source.current()->models.size() == 20U);
    BOOST_CHECK(router.source.current()->digest == keeper.source.current()->digest);
    const std::map<HostName, DocumentVersion> everywhere { { HostName("relay"), DocumentVersion(20) }, { HostName("router"), DocumentVersion(20) } };
    while (keeper.source.inForce() != everywhere)
        std::this_thread::sleep_for(2ms);
    running.stop();
}

BOOST_AUTO_TEST_CASE(AFollowerFailsOverToTheNextSource)
{
    RunningContext running;
    Node keeper(running.context, "keeper");
    Node router(running.context, "router");
    Node relay(running.context, "relay");
    router.follow(running.context, "router", { relay.endpoint, keeper.endpoint });
    relay.source.offer(document(1, 1));
    keeper.source.offer(document(1, 1));
    router.waitFor(1);
    relay.server.close();
    keeper.source.offer(document(2, 2));
    router.waitFor(2);
    running.stop();
}

BOOST_AUTO_TEST_CASE(AFollowerOfAnOutdatedRelayGetsTheDocumentFromAnotherSource)
{
    RunningContext running;
    Node keeper(running.context, "keeper");
    Node staleRelay(running.context, "relay");
    Node router(running.context, "router");
    router.follow(running.context, "router", { staleRelay.endpoint, keeper.endpoint });
    keeper.source.offer(document(3, 2));
    router.waitFor(3);
    running.stop();
}

BOOST_AUTO_TEST_SUITE_END()
