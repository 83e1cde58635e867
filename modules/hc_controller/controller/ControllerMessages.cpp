#include "controller/ControllerMessages.h"

#include "controller/Controller.capnp.h"
#include "hemlockchute/peer/MessageBytes.h"

namespace hemlockchute {
namespace {

constexpr auto malformed = ControllerMessageError::Malformed;

void writeOrder(wire::OrderEntry::Builder target, const RecordedOrder& recorded)
{
    const EngineOrder& order = recorded.order;
    target.setEngine(recorded.engine.text().c_str());
    target.setId(order.id.text().c_str());
    target.setFencing(order.fencing.value());
    target.setKind(static_cast<std::uint8_t>(order.kind));
    target.setModel(order.model.text().c_str());
    target.setVersion(order.version.c_str());
    target.setAdapter(order.adapter.text().c_str());
    target.setSource(static_cast<std::uint8_t>(order.source));
    target.setMemory(order.memory.value());
    target.setLifetimeNs(order.lifetime.count());
}

RecordedOrder readOrder(wire::OrderEntry::Reader source)
{
    EngineOrder order;
    order.id = OrderId(textOf(source.getId()));
    order.fencing = FencingNumber(source.getFencing());
    order.kind = static_cast<OrderKind>(source.getKind());
    order.model = ModelName(textOf(source.getModel()));
    order.version = textOf(source.getVersion());
    order.adapter = AdapterName(textOf(source.getAdapter()));
    order.source = static_cast<LoadSource>(source.getSource());
    order.memory = ByteCount(source.getMemory());
    order.lifetime = Duration(source.getLifetimeNs());
    return { BackendServerName(textOf(source.getEngine())), order };
}

bool isKnown(wire::OrderEntry::Reader order)
{
    return order.getKind() <= static_cast<std::uint8_t>(OrderKind::UnloadAdapter) && order.getSource() <= static_cast<std::uint8_t>(LoadSource::Store);
}

Result<OrderRecord, ControllerMessageError> readRecord(wire::OrderRecord::Reader root)
{
    OrderRecord record { FencingNumber(root.getFencing()), root.getSequence(), {} };
    for (auto order : root.getOrders()) {
        if (!isKnown(order))
            return failure(malformed, "an unknown kind or source of an order");
        record.orders.push_back(readOrder(order));
    }
    return record;
}

ShareMessage readShares(wire::ShareMessage::Reader root)
{
    ShareMessage message { DataCentreName(textOf(root.getDataCentre())), root.getIsLeader(), HostName(textOf(root.getLeader())), {} };
    for (auto entry : root.getReports())
        message.reports.push_back({ entry.getDemand(), entry.getTaken(), ShareReportNumber(entry.getNumber()), ShareReportNumber(entry.getAnswers()), entry.getLent() });
    return message;
}

} // namespace

ByteString encodeOrderRecord(const OrderRecord& record)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::OrderRecord>();
    root.setFencing(record.fencing.value());
    root.setSequence(record.sequence);
    auto orders = root.initOrders(static_cast<unsigned>(record.orders.size()));
    for (unsigned i = 0; i < orders.size(); ++i)
        writeOrder(orders[i], record.orders[i]);
    return messageBytes(message);
}

Result<OrderRecord, ControllerMessageError> decodeOrderRecord(std::string_view bytes)
{
    return readMessage<wire::OrderRecord, OrderRecord>(bytes, malformed, readRecord);
}

ByteString encodePromiseRequest(const PromiseRequest& request)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::PromiseRequest>();
    root.setFencing(request.fencing.value());
    root.setLengthNs(request.length.count());
    root.setIsReleased(request.isReleased);
    return messageBytes(message);
}

Result<PromiseRequest, ControllerMessageError> decodePromiseRequest(std::string_view bytes)
{
    return readMessage<wire::PromiseRequest, PromiseRequest>(bytes, malformed, [](wire::PromiseRequest::Reader root) -> Result<PromiseRequest, ControllerMessageError> {
        if (root.getLengthNs() < 0)
            return failure(malformed, "a negative length");
        return PromiseRequest { FencingNumber(root.getFencing()), Duration(root.getLengthNs()), root.getIsReleased() };
    });
}

ByteString encodePromiseReply(const PromiseReply& reply)
{
    capnp::MallocMessageBuilder message;
    message.initRoot<wire::PromiseReply>().setIsPromised(reply.isPromised);
    return messageBytes(message);
}

Result<PromiseReply, ControllerMessageError> decodePromiseReply(std::string_view bytes)
{
    return readMessage<wire::PromiseReply, PromiseReply>(bytes, malformed,
        [](wire::PromiseReply::Reader root) -> Result<PromiseReply, ControllerMessageError> { return PromiseReply { root.getIsPromised() }; });
}

ByteString encodeShareMessage(const ShareMessage& shares)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::ShareMessage>();
    root.setDataCentre(shares.dataCentre.text().c_str());
    root.setIsLeader(shares.isLeader);
    root.setLeader(shares.leader.text().c_str());
    auto reports = root.initReports(static_cast<unsigned>(shares.reports.size()));
    for (unsigned i = 0; i < reports.size(); ++i) {
        const ShareReport& report = shares.reports[i];
        reports[i].setDemand(report.demand);
        reports[i].setTaken(report.allowed);
        reports[i].setNumber(report.number.value());
        reports[i].setAnswers(report.acknowledges.value());
        reports[i].setLent(report.lent);
    }
    return messageBytes(message);
}

Result<ShareMessage, ControllerMessageError> decodeShareMessage(std::string_view bytes)
{
    return readMessage<wire::ShareMessage, ShareMessage>(bytes, malformed,
        [](wire::ShareMessage::Reader root) -> Result<ShareMessage, ControllerMessageError> { return readShares(root); });
}

} // namespace hemlockchute
