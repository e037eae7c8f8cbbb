#include "settings/ini.h"

#include <algorithm>
#include <cstring>
#include <fstream>
#include <ini.h>
#include <numeric>

namespace damask {

namespace {

constexpr size_t MaxLineBytes = 197; // longest line that inih does not split
constexpr std::string_view Separator = " = ";
constexpr std::string_view Blanks = " \t\v\f\r"; // trimmed by inih at both ends of a line

std::string lineTooLong(int line)
{
    return ":" + std::to_string(line) + ": longer than " + std::to_string(MaxLineBytes) + " bytes; shorten it";
}

/// Number of the first line that inih would split in two; 0 if there is none.
int findLongLine(std::string_view text)
{
    for (int line = 1; !text.empty(); ++line) {
        const size_t end = std::min(text.find('\n'), text.size());
        if (end > MaxLineBytes) {
            return line;
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return 0;
}

/// State shared by the callbacks of inih.
struct ParseState {
    std::string_view rest; // text not yet parsed
    int line = 0;          // current line, from 1
    bool indented = false; // the current line starts with white space and continues the previous entry
    Result<void> result;   // first error; parsing stops at it
    std::vector<IniSection> sections;
};

Result<void> openSection(ParseState &state, std::string_view row)
{
    const std::string_view header = row.substr(1, row.find(']') - 1);
    const size_t space = header.find(' ');
    IniSection section;
    section.kind = header.substr(0, space);
    if (space != std::string_view::npos) {
        section.name = header.substr(std::min(header.find_first_not_of(' ', space), header.size()));
    }
    section.line = state.line;
    for (const IniSection &it : state.sections) {
        if (it.kind == section.kind && it.name == section.name) {
            return fail(Code::BadSettings, ":" + std::to_string(state.line) + ": section [" + std::string(header)
                                               + "] occurs twice; merge the two");
        }
    }
    state.sections.push_back(std::move(section));
    return {};
}

/// Reader callback of inih: copies one line to buf, counts it and opens a section at a header.
char *readLine(char *buf, int size, void *stream)
{
    auto &state = *static_cast<ParseState *>(stream);
    if (state.rest.empty() || size < 2 || !state.result) {
        return nullptr;
    }
    const size_t end = std::min(state.rest.find('\n'), state.rest.size() - 1) + 1;
    const size_t n = std::min(end, static_cast<size_t>(size) - 1);
    const std::string_view row = state.rest.substr(0, n);
    std::memcpy(buf, row.data(), n);
    buf[n] = '\0';
    state.rest.remove_prefix(n);
    ++state.line;
    state.indented = row.front() == ' ' || row.front() == '\t';
    if (row.front() == '[' && row.find(']') != std::string_view::npos) {
        state.result = openSection(state, row);
    }
    return buf;
}

/// The library removes comments behind values only on the first line of an entry.
std::string_view withoutComment(std::string_view value)
{
    for (size_t at = value.find(';'); at != std::string_view::npos; at = value.find(';', at + 1)) {
        if (at == 0 || Blanks.find(value[at - 1]) != std::string_view::npos) {
            value = value.substr(0, at);
            return value.substr(0, value.find_last_not_of(Blanks) + 1);
        }
    }
    return value;
}

/// Handler callback of inih: adds an entry to the current section.
int handleEntry(void *user, const char *, const char *name, const char *value)
{
    auto &state = *static_cast<ParseState *>(user);
    if (state.sections.empty()) {
        state.sections.push_back({.kind = "", .name = "", .line = state.line, .entries = {}});
    }
    const bool onlyComment = value == nullptr || *value == ';'; // as in `key =; comment`
    IniEntry entry{name, onlyComment ? "" : value, state.line};
    std::vector<IniEntry> &entries = state.sections.back().entries;
    if (state.indented && !entries.empty() && entries.back().key == entry.key) {
        const std::string_view more = withoutComment(entry.value);
        std::string &whole = entries.back().value;
        if (!more.empty()) {
            whole += (whole.empty() ? "" : " ") + std::string(more);
        }
        return 1;
    }
    entries.push_back(std::move(entry));
    return 1;
}

/// Position to break a value that is too long for its line: the last space without other white space beside it that
/// does not precede a comment character.
size_t findLineBreak(std::string_view value, size_t available)
{
    for (size_t n = std::min(available, value.size() - 1); n > 1; --n) {
        if (value[n] != ' ' || n + 1 == value.size()) {
            continue;
        }
        const bool single =
            Blanks.find(value[n - 1]) == std::string_view::npos && Blanks.find(value[n + 1]) == std::string_view::npos;
        if (single && value[n + 1] != ';' && value[n + 1] != '#') {
            return n;
        }
    }
    return std::string_view::npos;
}

/// BadSettings for an entry that, once written out, could not be read back.
Result<void> checkWritable(std::span<const IniSection> sections)
{
    for (const IniSection &section : sections) {
        for (const IniEntry &it : section.entries) {
            if (findLongLine(writeIniEntry(it.key, it.value)) != 0) {
                return fail(Code::BadSettings, lineTooLong(it.line));
            }
        }
    }
    return {};
}

} // namespace

Result<std::vector<IniSection>> readIni(std::string_view text, std::string_view source)
{
    if (text.find('\0') != std::string_view::npos) {
        return fail(Code::BadSettings, std::string(source) + ": contains a zero byte; INI files are plain text");
    }
    const int longLine = findLongLine(text);
    if (longLine != 0) {
        return fail(Code::BadSettings, std::string(source) + lineTooLong(longLine));
    }
    ParseState state;
    state.rest = text;
    const int ec = ini_parse_stream(readLine, &state, handleEntry, &state);
    if (!state.result) {
        return fail(Code::BadSettings, std::string(source) + state.result.error().detail);
    }
    if (ec != 0) {
        return fail(Code::BadSettings,
                    std::string(source) + ":" + std::to_string(ec) + ": neither a [section] nor a `key = value` line");
    }
    if (const auto writable = checkWritable(state.sections); !writable) {
        return fail(Code::BadSettings, std::string(source) + writable.error().detail);
    }
    return std::move(state.sections);
}

std::string writeIniEntry(std::string_view key, std::string_view value)
{
    constexpr std::string_view Indent = "    ";
    std::string out = std::string(key) + std::string(Separator);
    size_t available = MaxLineBytes - std::min(out.size(), MaxLineBytes);
    while (value.size() > available) {
        const size_t end = findLineBreak(value, available);
        if (end == std::string_view::npos) {
            break;
        }
        out += std::string(value.substr(0, end)) + "\n" + std::string(Indent);
        value.remove_prefix(end + 1);
        available = MaxLineBytes - Indent.size();
    }
    return out + std::string(value) + "\n";
}

Result<std::string> readFile(std::string_view path, size_t maxBytes)
{
    std::ifstream file{std::string(path), std::ios::binary};
    if (!file) {
        return fail(Code::SystemError, std::string(path) + ": can't be opened");
    }
    std::string text(maxBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<size_t>(file.gcount()));
    if (text.size() > maxBytes) {
        return fail(Code::SystemError, std::string(path) + ": longer than " + std::to_string(maxBytes) + " bytes");
    }
    return text;
}

std::string_view nearestName(std::string_view word, std::span<const std::string_view> candidates)
{
    std::string_view best;
    size_t bestDistance = SIZE_MAX;
    for (const std::string_view candidate : candidates) {
        std::vector<size_t> row(candidate.size() + 1);
        std::iota(row.begin(), row.end(), size_t{0});
        for (size_t n = 0; n < word.size(); ++n) {
            size_t diagonal = row[0];
            row[0] = n + 1;
            for (size_t m = 0; m < candidate.size(); ++m) {
                const size_t swap = diagonal + (word[n] == candidate[m] ? 0 : 1);
                diagonal = row[m + 1];
                row[m + 1] = std::min({swap, row[m] + 1, row[m + 1] + 1});
            }
        }
        if (row.back() < bestDistance) {
            bestDistance = row.back();
            best = candidate;
        }
    }
    return best;
}

} // namespace damask
