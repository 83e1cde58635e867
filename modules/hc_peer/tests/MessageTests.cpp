#include "hemlockchute/peer/peer.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace hemlockchute;

namespace {

FollowReply deltaReply()
{
    SectionDelta delta { DocumentVersion(3), DocumentVersion(5), Digest(1, 2), {} };
    delta.sections[TeamName("counter")] = "ranks";
    delta.sections[TeamName("gone")] = std::nullopt;
    return { DocumentVersion(5), delta, std::nullopt };
}

/** Decodes mutated and truncated messages, which may be accepted or rejected but must not crash. */
template <typename Decode>
void decodeMutations(const ByteString& bytes, Decode decode)
{
    std::mt19937 random(11);
    for (int i = 0; i < 3000; ++i) {
        ByteString changed = bytes;
        for (unsigned change = 0; change < 1 + random() % 4; ++change)
            changed[random() % changed.size()] = static_cast<char>(random());
        if (i % 5 == 0)
            changed.resize(random() % changed.size());
        decode(changed);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(MessageTests)

BOOST_AUTO_TEST_CASE(KeeperRepliesRoundTrip)
{
    KeeperReply reply { KeeperReply::Kind::Unknown, KeeperId(3), ByteString("a\0b", 3) };
    auto read = decodeKeeperReply(encodeKeeperReply(reply));
    BOOST_REQUIRE(read);
    BOOST_CHECK(read->kind == reply.kind);
    BOOST_TEST(read->leader == reply.leader);
    BOOST_TEST(read->answer == reply.answer);
    decodeMutations(encodeKeeperReply(reply), [](const ByteString& bytes) { (void)decodeKeeperReply(bytes); });
    BOOST_TEST(!decodeKeeperReply(""));
}

BOOST_AUTO_TEST_CASE(FollowRequestsRoundTrip)
{
    FollowRequest request { DocumentVersion(4), Digest(8, 9), { { HostName("a"), DocumentVersion(3) }, { HostName("b"), DocumentVersion(4) } } };
    auto read = decodeFollowRequest(encodeFollowRequest(request));
    BOOST_REQUIRE(read);
    BOOST_TEST(read->version == request.version);
    BOOST_CHECK(read->digest == request.digest);
    BOOST_CHECK(read->inForce == request.inForce);
    decodeMutations(encodeFollowRequest(request), [](const ByteString& bytes) { (void)decodeFollowRequest(bytes); });
}

BOOST_AUTO_TEST_CASE(FollowRepliesRoundTrip)
{
    FollowReply reply = deltaReply();
    auto read = decodeFollowReply(encodeFollowReply(reply));
    BOOST_REQUIRE(read);
    BOOST_REQUIRE(read->delta);
    BOOST_TEST(read->delta->baseVersion == reply.delta->baseVersion);
    BOOST_CHECK(read->delta->digest == reply.delta->digest);
    BOOST_CHECK(read->delta->sections == reply.delta->sections);
    auto whole = decodeFollowReply(encodeFollowReply({ DocumentVersion(2), std::nullopt, "text" }));
    BOOST_CHECK(whole->text == "text");
    auto nothing = decodeFollowReply(encodeFollowReply({ DocumentVersion(2), std::nullopt, std::nullopt }));
    BOOST_CHECK(!nothing->text && !nothing->delta);
    decodeMutations(encodeFollowReply(reply), [](const ByteString& bytes) { (void)decodeFollowReply(bytes); });
}

BOOST_AUTO_TEST_SUITE_END()
