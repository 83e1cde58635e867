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

/** An IP number and a port, "127.0.0.1:80" or "[::1]:80"; nothing when the text is neither. */
std::optional<Endpoint> parseEndpoint(std::string_view text);
/** The text parseEndpoint() reads. */
std::string formatEndpoint(const Endpoint&);

//==============================================================================
/**
    A table of a settings file, which remembers what was asked of it and every fault it found.

    Ask for each value by its key; a value that is missing, of the wrong type or out of range
    adds a fault and gives the fallback. Keys that nobody asked for become faults as well.

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
    /** A required, non-empty text. */
    std::string text(std::string_view key) const;
    /** A text, or the fallback when the key is missing. */
    std::string text(std::string_view key, std::string_view fallback) const;
    /** One of the allowed texts, or the fallback when the key is missing. */
    std::string choice(std::string_view key, const std::vector<std::string>& allowed, std::string_view fallback) const;
    /** A whole number within the bounds, or the fallback when the key is missing. */
    std::int64_t integer(std::string_view key, std::int64_t fallback, std::int64_t least, std::int64_t most) const;
    /** A number within the bounds, or the fallback when the key is missing. */
    double number(std::string_view key, double fallback, double least, double most) const;
    /** A truth value, or the fallback when the key is missing. */
    bool flag(std::string_view key, bool fallback) const;
    /** A time such as "250ms", "5s", "2m" or "1h", or the fallback when the key is missing. */
    Duration duration(std::string_view key, Duration fallback) const;
    /** A size such as "64KiB", "8MiB" or "2GiB", or the fallback when the key is missing. */
    ByteCount bytes(std::string_view key, ByteCount fallback) const;
    /** A required IP number and port. */
    Endpoint endpoint(std::string_view key) const;
    /** An IP number and port, or nothing when the key is missing. */
    std::optional<Endpoint> optionalEndpoint(std::string_view key) const;
    /** Texts of an array; empty when the key is missing. */
    std::vector<std::string> texts(std::string_view key) const;

    //==============================================================================
    /** A table inside this one; a missing one reads as empty. */
    SettingsTable table(std::string_view key) const;
    /** The tables of an array of tables; empty when the key is missing. */
    std::vector<SettingsTable> tables(std::string_view key) const;
    /** True when the key is present. */
    bool has(std::string_view key) const;
    /** Adds a fault of the caller's own, at the key's line. */
    void addFault(std::string_view key, std::string_view what) const;

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
    /** Reads settings from text; `name` stands in the faults. */
    static SettingsFile parse(std::string_view text, std::string name);

    ~SettingsFile();
    SettingsFile(SettingsFile&&) noexcept;
    SettingsFile& operator=(SettingsFile&&) noexcept;

    SettingsTable root() const;
    /** Every fault so far as "file:line: key: what", by line, and one for each key nobody asked for. */
    std::vector<std::string> faults() const;

private:
    struct Impl;
    explicit SettingsFile(std::unique_ptr<Impl>);
    std::unique_ptr<Impl> m_impl;
};

} // namespace hemlockchute
