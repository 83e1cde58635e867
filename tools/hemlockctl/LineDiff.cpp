#include "LineDiff.h"

#include <algorithm>
#include <vector>

namespace hemlockchute {
namespace {

using Lines = std::vector<std::string_view>;

Lines splitLines(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        std::size_t end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

/** The length of the longest common subsequence for each pair of suffixes. */
class CommonSubsequenceLengths {
public:
    CommonSubsequenceLengths(const Lines& before, const Lines& after)
        : m_width(after.size() + 1)
        , m_lengths((before.size() + 1) * m_width)
    {
        for (std::size_t i = before.size(); i-- > 0;) {
            for (std::size_t j = after.size(); j-- > 0;)
                m_lengths[i * m_width + j] = before[i] == after[j] ? at(i + 1, j + 1) + 1 : std::max(at(i + 1, j), at(i, j + 1));
        }
    }

    unsigned at(std::size_t i, std::size_t j) const { return m_lengths[i * m_width + j]; }

private:
    std::size_t m_width;
    std::vector<unsigned> m_lengths;
};

/** Removes equal lines at both ends, which keeps the table of lengths small. */
void removeCommonEnds(Lines& before, Lines& after)
{
    auto [beforeStart, afterStart] = std::mismatch(before.begin(), before.end(), after.begin(), after.end());
    before.erase(before.begin(), beforeStart);
    after.erase(after.begin(), afterStart);
    auto [beforeEnd, afterEnd] = std::mismatch(before.rbegin(), before.rend(), after.rbegin(), after.rend());
    before.erase(beforeEnd.base(), before.end());
    after.erase(afterEnd.base(), after.end());
}

} // namespace

std::string lineDiff(std::string_view before, std::string_view after)
{
    Lines old = splitLines(before);
    Lines changed = splitLines(after);
    removeCommonEnds(old, changed);
    CommonSubsequenceLengths common(old, changed);
    std::string text;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < old.size() || j < changed.size()) {
        bool isEqual = i < old.size() && j < changed.size() && old[i] == changed[j];
        if (isEqual) {
            ++i;
            ++j;
            continue;
        }
        bool isRemoved = j == changed.size() || (i < old.size() && common.at(i + 1, j) >= common.at(i, j + 1));
        text += (isRemoved ? "-" : "+") + std::string(isRemoved ? old[i++] : changed[j++]) + "\n";
    }
    return text;
}

} // namespace hemlockchute
