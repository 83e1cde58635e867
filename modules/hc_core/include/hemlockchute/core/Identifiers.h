#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace hemlockchute {

//==============================================================================
/**
    A name whose type says which kind of entity it identifies.

    Two names of different kinds are different types, so that a model's name cannot be passed where
    a host's is expected. Thread safety: as std::string.

    @see NumberId
*/
template <typename Tag>
class NameId {
public:
    NameId() = default;
    explicit NameId(std::string text)
        : m_text(std::move(text))
    {
    }

    const std::string& text() const { return m_text; }
    bool isEmpty() const { return m_text.empty(); }

    friend auto operator<=>(const NameId&, const NameId&) = default;
    friend std::ostream& operator<<(std::ostream& stream, const NameId& id) { return stream << id.m_text; }

private:
    std::string m_text;
};

//==============================================================================
/**
    A number whose type says which kind of entity it identifies, and which only increases.

    Zero means "none yet". Thread safety: as an integer.

    @see NameId
*/
template <typename Tag>
class NumberId {
public:
    constexpr NumberId() = default;
    constexpr explicit NumberId(std::uint64_t value)
        : m_value(value)
    {
    }

    constexpr std::uint64_t value() const { return m_value; }
    constexpr bool isNone() const { return m_value == 0; }
    constexpr NumberId next() const { return NumberId(m_value + 1); }

    friend constexpr auto operator<=>(NumberId, NumberId) = default;
    friend std::ostream& operator<<(std::ostream& stream, NumberId id) { return stream << id.m_value; }

private:
    std::uint64_t m_value = 0;
};

//==============================================================================
using ModelName = NameId<struct ModelNameTag>;
using AdapterName = NameId<struct AdapterNameTag>;
using ServiceName = NameId<struct ServiceNameTag>;
using RankName = NameId<struct RankNameTag>;
using TeamName = NameId<struct TeamNameTag>;
using DataCentreName = NameId<struct DataCentreNameTag>;
/** An entry host: one of the machines that the system itself runs on. */
using HostName = NameId<struct HostNameTag>;
using BackendServerName = NameId<struct BackendServerNameTag>;
using SubmitId = NameId<struct SubmitIdTag>;
using IdempotencyKey = NameId<struct IdempotencyKeyTag>;
using RequestId = NameId<struct RequestIdTag>;
using AttemptId = NameId<struct AttemptIdTag>;
using OrderId = NameId<struct OrderIdTag>;

using DocumentVersion = NumberId<struct DocumentVersionTag>;
using FencingNumber = NumberId<struct FencingNumberTag>;
using LogIndex = NumberId<struct LogIndexTag>;
/** A Raft term of the keepers. */
using AgreementTerm = NumberId<struct AgreementTermTag>;
using KeeperId = NumberId<struct KeeperIdTag>;
/** Identifies one incarnation of a keeper's data folder; a new or emptied folder gets a new one. */
using IncarnationId = NumberId<struct IncarnationIdTag>;

} // namespace hemlockchute

template <typename Tag>
struct std::hash<hemlockchute::NameId<Tag>> {
    std::size_t operator()(const hemlockchute::NameId<Tag>& id) const { return std::hash<std::string>()(id.text()); }
};

template <typename Tag>
struct std::hash<hemlockchute::NumberId<Tag>> {
    std::size_t operator()(hemlockchute::NumberId<Tag> id) const { return std::hash<std::uint64_t>()(id.value()); }
};
