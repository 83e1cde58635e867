#include "peer/ReplyTable.h"

#include <boost/asio/post.hpp>

namespace hemlockchute {
namespace {

/** A service of the io_context that shuts the table down when the io_context is destroyed. */
class ReplyTableService : public boost::asio::execution_context::service {
public:
    using key_type = ReplyTableService;

    explicit ReplyTableService(boost::asio::execution_context& context)
        : service(context)
        , m_table(std::make_shared<ReplyTable>(static_cast<boost::asio::io_context&>(context)))
    {
    }

    std::shared_ptr<ReplyTable> table() const { return m_table; }

private:
    void shutdown() override { m_table->shutdown(); }

    std::shared_ptr<ReplyTable> m_table;
};

} // namespace

std::shared_ptr<ReplyTable> ReplyTable::of(boost::asio::io_context& context)
{
    return boost::asio::use_service<ReplyTableService>(static_cast<boost::asio::execution_context&>(context)).table();
}

ReplyTable::ReplyTable(boost::asio::io_context& context)
    : m_context(&context)
{
}

ReplyTable::Ticket ReplyTable::add(PeerReply reply)
{
    std::lock_guard guard(m_lock);
    if (m_context)
        m_replies.emplace(++m_lastTicket, std::move(reply));
    return m_lastTicket;
}

void ReplyTable::complete(Ticket ticket, Result<ByteString, PeerErrorCode> result)
{
    std::lock_guard guard(m_lock);
    auto found = m_replies.find(ticket);
    if (found == m_replies.end())
        return;
    PeerReply reply = std::move(found->second);
    m_replies.erase(found);
    boost::asio::post(*m_context, [reply = std::move(reply), result = std::move(result)]() mutable { reply(std::move(result)); });
}

void ReplyTable::post(std::function<void()> function)
{
    std::lock_guard guard(m_lock);
    if (m_context)
        boost::asio::post(*m_context, std::move(function));
}

void ReplyTable::shutdown()
{
    std::unordered_map<Ticket, PeerReply> dropped;
    std::lock_guard guard(m_lock);
    m_context = nullptr;
    dropped.swap(m_replies);
}

} // namespace hemlockchute
