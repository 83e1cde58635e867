#include "ScenarioLanguage.h"

#include <boost/spirit/home/x3.hpp>
#include <optional>
#include <sstream>

namespace hemlockchute::harness {

namespace x3 = boost::spirit::x3;

namespace {

enum class WordKind {
    Name,
    Number,
    Text
};

struct Word {
    WordKind kind = WordKind::Name;
    std::string text;
    std::size_t column = 0;
};

using Line = std::vector<Word>;

/** Splits one line into names, numbers and quoted texts; `#` begins a comment. */
class LineParser {
public:
    LineParser(std::string_view line, const std::string& file, std::size_t number)
        : m_line(line)
        , m_file(file)
        , m_number(number)
    {
    }

    Line parse()
    {
        auto add = [this](WordKind kind) {
            return [this, kind](auto& context) {
                auto range = x3::_attr(context);
                m_words.push_back({ kind, std::string(range.begin(), range.end()), static_cast<std::size_t>(range.begin() - m_line.begin()) + (kind == WordKind::Text ? 0 : 1) });
            };
        };
        const auto nameCharacter = x3::alnum | x3::char_("-._/<>=@");
        const auto number = x3::raw[x3::lexeme[+x3::digit >> !nameCharacter]];
        const auto name = x3::raw[x3::lexeme[+nameCharacter]];
        const auto text = x3::lexeme['"' >> x3::raw[*(x3::char_ - '"')] >> '"'];
        const auto comment = x3::lexeme['#' >> *x3::char_];
        const auto word = number[add(WordKind::Number)] | name[add(WordKind::Name)] | text[add(WordKind::Text)];

        const auto* begin = m_line.begin();
        bool parsed = x3::phrase_parse(begin, m_line.end(), *word >> -comment, x3::blank);
        if (!parsed || begin != m_line.end())
            throw ScenarioSyntaxError(m_file, m_number, static_cast<std::size_t>(begin - m_line.begin()) + 1, "expected a name, a number or a text in quotes");
        return m_words;
    }

private:
    std::string_view m_line;
    const std::string& m_file;
    std::size_t m_number;
    Line m_words;
};

std::vector<std::string> split(const std::string& form)
{
    std::istringstream stream(form);
    std::vector<std::string> parts;
    for (std::string part; stream >> part;)
        parts.push_back(part);
    return parts;
}

/** Matches the words of one line against one statement form. */
class FormMatcher {
public:
    FormMatcher(const std::string& form, const Line& words)
        : m_parts(split(form))
        , m_words(words)
    {
    }

    /** Returns the arguments, or nothing if the line does not match; furthest() is then the index of the first word that differs. */
    std::optional<std::map<std::string, std::string>> match()
    {
        std::size_t part = 0;
        while (part < m_parts.size()) {
            if (m_parts[part].starts_with('[')) {
                part = matchGroup(part);
                continue;
            }
            if (!matchPart(m_parts[part]))
                return {};
            ++part;
        }
        if (m_position < m_words.size()) {
            m_expected = "the end of the line";
            return {};
        }
        return m_arguments;
    }

    std::size_t furthest() const { return m_position; }
    const std::string& expected() const { return m_expected; }

private:
    /** Matches an optional group if its first word matches; returns the index of the part after it. */
    std::size_t matchGroup(std::size_t part)
    {
        std::size_t end = part;
        while (!m_parts[end].ends_with(']'))
            ++end;
        std::size_t start = m_position;
        for (std::size_t i = part; i <= end; ++i) {
            std::string inner = m_parts[i];
            if (i == part)
                inner.erase(0, 1);
            if (i == end)
                inner.pop_back();
            if (!matchPart(inner)) {
                m_position = i == part ? start : m_position;
                break;
            }
        }
        return end + 1;
    }

    bool matchPart(const std::string& part)
    {
        std::size_t colon = part.find(':');
        m_expected = colon == std::string::npos ? "'" + part + "'" : "a " + part.substr(colon + 1) + " for " + part.substr(0, colon);
        if (m_position >= m_words.size())
            return false;
        const Word& word = m_words[m_position];
        bool matches = colon == std::string::npos ? word.kind != WordKind::Text && word.text == part : hasType(word, part.substr(colon + 1));
        if (!matches)
            return false;
        if (colon != std::string::npos)
            m_arguments[part.substr(0, colon)] = word.text;
        ++m_position;
        return true;
    }

    static bool hasType(const Word& word, const std::string& type)
    {
        if (type == "name")
            return word.kind == WordKind::Name;
        return type == "number" ? word.kind == WordKind::Number : word.kind == WordKind::Text;
    }

    std::vector<std::string> m_parts;
    const Line& m_words;
    std::size_t m_position = 0;
    std::string m_expected;
    std::map<std::string, std::string> m_arguments;
};

Statement parseStatement(const Line& words, const std::string& file, std::size_t lineNumber, const Forms& forms)
{
    std::size_t furthest = 0;
    std::string expected = "a statement";
    for (const std::string& form : forms) {
        FormMatcher matcher(form, words);
        if (auto arguments = matcher.match())
            return { form, *arguments, {}, lineNumber };
        if (matcher.furthest() > furthest) {
            furthest = matcher.furthest();
            expected = matcher.expected();
        }
    }
    bool atEnd = furthest >= words.size();
    std::size_t column = atEnd ? words.back().column + words.back().text.size() : words[furthest].column;
    throw ScenarioSyntaxError(file, lineNumber, column, "expected " + expected + ", found " + (atEnd ? "the end of the line" : "'" + words[furthest].text + "'"));
}

} // namespace

ScenarioSyntaxError::ScenarioSyntaxError(const std::string& file, std::size_t line, std::size_t column, const std::string& what)
    : std::runtime_error(file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": " + what)
{
}

std::string Statement::valueOr(const std::string& name, const std::string& fallback) const
{
    auto found = arguments.find(name);
    return found == arguments.end() ? fallback : found->second;
}

int Statement::number(const std::string& name, int fallback) const
{
    auto found = arguments.find(name);
    return found == arguments.end() ? fallback : std::stoi(found->second);
}

std::vector<Statement> parseScenario(std::string_view text, const std::string& file, const Forms& forms)
{
    std::vector<Statement> statements;
    std::istringstream stream { std::string(text) };
    std::size_t lineNumber = 0;
    for (std::string line; std::getline(stream, line);) {
        ++lineNumber;
        Line words = LineParser(line, file, lineNumber).parse();
        if (words.empty())
            continue;
        Statement statement = parseStatement(words, file, lineNumber, forms);
        statement.text = line;
        statements.push_back(std::move(statement));
    }
    return statements;
}

} // namespace hemlockchute::harness
