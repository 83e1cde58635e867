#pragma once

#include "hemlockchute/core/Clock.h"
#include "hemlockchute/core/Units.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockchute {

using Endpoint = boost::asio::ip::tcp::endpoint;

/** Parses an IP address and port, such as "127.0.0.1:80" or "[::1]:80"; returns nothing for any other text. */
std::optional<Endpoint> parseEndpoint(std::string_view text);
/** Formats an endpoint as parseEndpoint() reads it. */
std::string formatEndpoint(const Endpoint&);

//==============================================================================
/**
    A table of a settings file. It records which keys were read, and every fault.

    Values are read by key. A value of the wrong type or out of range, or a missing required value,
    adds a fault; the fallback is returned instead. Keys that are never read are reported as faults as well.

    @code
    SettingsFile file = SettingsFile::load("router.toml");
    SettingsTable host = file.root().table("host");
    std::string name = host.text("name");
    std::vector<std::string> faults = file.faults();
    @endcode

    Thread safety: one thread at a time per file.

    @see SettingsFile
*/
class SettingsTable {
public:
    //==============================================================================
    /** A required, non-empty string. */
    std::string text(std::string_view key) const;
    /** A string, or the fallback when the key is missing. */
    std::string text(std::string_view key, std::string_view fallback) const;
    /** One of the allowed strings, or the fallback when the key is missing. */
    std::string choice(std::string_view key, const std::vector<std::string>& allowed, std::string_view fallback) const;
    /** An integer within the bounds, or the fallback when the key is missing. */
    std::int64_t integer(std::string_view key, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum) const;
    /** A number within the bounds, or the fallback when the key is missing. */
    double number(std::string_view key, double fallback, double minimum, double maximum) const;
    /** A Boolean, or the fallback when the key is missing. */
    bool flag(std::string_view key, bool fallback) const;
    /** A duration such as "250ms", "5s", "2m" or "1h", or the fallback when the key is missing. */
    Duration duration(std::string_view key, Duration fallback) const;
    /** A size such as "64KiB", "8MiB" or "2GiB", or the fallback when the key is missing. */
    ByteCount bytes(std::string_view key, ByteCount fallback) const;
    /** A required IP address and port. */
    Endpoint endpoint(std::string_view key) const;
    /** An IP address and port, or nothing when the key is missing. */
    std::optional<Endpoint> optionalEndpoint(std::string_view key) const;
    /** The strings of an array; empty when the key is missing. */
    std::vector<std::string> texts(std::string_view key) const;

    //==============================================================================
    /** A table inside this one; a missing one reads as empty. */
    SettingsTable table(std::string_view key) const;
    /** The tables of an array of tables; empty when the key is missing. */
    std::vector<SettingsTable> tables(std::string_view key) const;
    /** True when the key is present. */
    bool has(std::string_view key) const;
    /** Adds a fault found by the caller, at the key's line. */
    void addFault(std::string_view key, std::string_view message) const;

private:
    friend class SettingsFile;
    struct Impl;
    explicit SettingsTable(std::shared_ptr<Impl>);
    std::shared_ptr<Impl> m_impl;
};

//==============================================================================
/**
    One settings file in TOML. @see SettingsTable
*/
class SettingsFile {
public:
    /** Reads a file; a file that cannot be read or parsed is a fault, not an exception. */
    static SettingsFile load(const std::filesystem::path&);
    /** Parses settings from text; `name` is the file name in the faults. */
    static SettingsFile parse(std::string_view text, std::string name);

    ~SettingsFile();
    SettingsFile(SettingsFile&&) noexcept;
    SettingsFile& operator=(SettingsFile&&) noexcept;

    SettingsTable root() const;
    /** Every fault so far as "file:line: key: message", by line, including one for each key that was never read. */
    std::vector<std::string> faults() const;

private:
    struct Impl;
    explicit SettingsFile(std::unique_ptr<Impl>);
    std::unique_ptr<Impl> m_impl;
};

} // namespace hemlockchute
