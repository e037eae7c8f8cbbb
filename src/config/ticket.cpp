#include "config/ticket.h"

#include "base/hash.h"
#include "config/field.h"
#include "config/kind.h"
#include "settings/ini.h"
#include "settings/settings.h"

#include <set>

namespace damask {

namespace {

constexpr std::string_view BasedOnKey = "based-on";
constexpr std::string_view RemoveKey = "remove";

/// The length in bytes of the first UTF-8 character of text; 0 when it is malformed or a control character.
size_t characterLength(std::string_view text)
{
    const auto first = static_cast<unsigned char>(text.front());
    if (first < 0x80) {
        return first >= ' ' && first != 0x7f ? 1 : 0;
    }
    const size_t length = first >= 0xf0 ? 4 : first >= 0xe0 ? 3 : 2;
    if (first < 0xc2 || first > 0xf4 || text.size() < length) {
        return 0;
    }
    for (size_t n = 1; n < length; ++n) {
        if ((static_cast<unsigned char>(text[n]) & 0xc0U) != 0x80U) {
            return 0;
        }
    }
    const auto second = static_cast<unsigned char>(text[1]);
    const bool overlong = (first == 0xe0 && second < 0xa0) || (first == 0xf0 && second < 0x90);
    const bool outside = (first == 0xed && second >= 0xa0) || (first == 0xf4 && second >= 0x90);
    return overlong || outside ? 0 : length;
}

/// The line of the first malformed UTF-8 sequence or control character; 0: there is none.
int findMalformedLine(std::string_view text)
{
    int line = 1;
    while (!text.empty()) {
        const bool blank = text.front() == '\n' || text.front() == '\r' || text.front() == '\t';
        const size_t length = blank ? 1 : characterLength(text);
        if (length == 0) {
            return line;
        }
        line += text.front() == '\n' ? 1 : 0;
        text.remove_prefix(length);
    }
    return 0;
}

Error errorAt(std::string_view source, int line, std::string_view what)
{
    return {Code::BadTicket, std::string(source) + ":" + std::to_string(line) + ": " + std::string(what)};
}

/// Parses the sections of a ticket and collects all errors.
class TicketParser
{
public:
    explicit TicketParser(std::string_view source)
        : m_source(source)
    {
        ticket.source = source;
    }

    void parseSection(const IniSection &section)
    {
        if (section.kind == "ticket") {
            parseHeader(section);
            return;
        }
        std::vector<std::string_view> kinds = {"ticket"};
        bool known = false;
        forEachKind([&]<class T>() {
            kinds.push_back(Kind<T>::Name);
            if (section.kind == Kind<T>::Name) {
                parseObject<T>(section);
                known = true;
            }
        });
        if (!known) {
            addError(section.line, "unknown section [" + section.kind
                                       + "]; allowed are ticket, data-centre, link, pool, "
                                         "service, rule and key; nearest is ["
                                       + std::string(nearestName(section.kind, kinds)) + "]");
        }
    }

    void finish()
    {
        if (!m_headerSeen) {
            addError(1, "[ticket] is missing: it holds number, operator and comment");
        }
        if (!m_objectSeen) {
            addError(1, "the ticket changes nothing: add a section such as [pool NAME]");
        }
        forEachKind([&]<class T>() { sortByName(ticket.*Kind<T>::Changes); });
    }

    Ticket ticket;
    std::string errors;

private:
    void parseHeader(const IniSection &section)
    {
        m_headerSeen = true;
        m_keys.clear();
        for (const IniEntry &it : section.entries) {
            if (!once(it)) {
                continue;
            }
            parseHeaderEntry(it);
        }
        if (!section.name.empty()) {
            addError(section.line, "[ticket] takes no name; write number = " + section.name);
        }
        if (ticket.number == 0) {
            addError(section.line, "[ticket] number is missing: a whole number that no other ticket has used");
        }
        if (ticket.operatorName.empty()) {
            addError(section.line, "[ticket] operator is missing: the name of the person responsible for the ticket");
        }
    }

    void parseHeaderEntry(const IniEntry &entry)
    {
        if (entry.key == "number") {
            const auto number = parseNumber(entry.value);
            const bool allowed = number && *number >= 1 && static_cast<uint64_t>(*number) <= MaxTicketNumber;
            ticket.number = allowed ? static_cast<uint64_t>(*number) : 0;
            check(allowed, entry, "a whole number from 1 to " + std::to_string(MaxTicketNumber));
            return;
        }
        if (entry.key == "operator") {
            ticket.operatorName = entry.value;
            check(validName(entry.value), entry, "letters, digits, '.', '_' and '-', at most 40 bytes");
            return;
        }
        if (entry.key == "comment") {
            ticket.comment = entry.value;
            const bool tab = entry.value.find('\t') != std::string::npos;
            check(!tab && entry.value.size() <= MaxCommentBytes, entry,
                  "at most " + std::to_string(MaxCommentBytes) + " bytes without tabs");
            return;
        }
        if (entry.key == "allow-capacity-loss") {
            const auto flag = parseFlag(entry.value);
            ticket.allowCapacityLoss = flag.value_or(false);
            check(flag.has_value(), entry, "yes or no");
            return;
        }
        unknownKey(entry, {"number", "operator", "comment", "allow-capacity-loss"});
    }

    template<class T>
    void parseObject(const IniSection &section)
    {
        m_objectSeen = true;
        m_keys.clear();
        Change<T> change;
        change.line = section.line;
        change.next.name = section.name;
        if (!validName(section.name)) {
            addError(section.line, "[" + section.kind
                                       + " NAME] needs a name: letters, digits, '.', '_' and '-', at most "
                                       + std::to_string(MaxObjectNameBytes) + " bytes");
        }
        for (const IniEntry &it : section.entries) {
            parseObjectEntry(change, it);
        }
        requireFields(change, section);
        (ticket.*Kind<T>::Changes).push_back(std::move(change));
    }

    template<class T>
    void parseObjectEntry(Change<T> &change, const IniEntry &entry)
    {
        if (!once(entry)) {
            return;
        }
        if (entry.key == BasedOnKey) {
            const auto version = parseNumber(entry.value);
            check(version && *version >= 0, entry, "the version that the new state is based on; 0: it is new");
            change.basedOn = static_cast<uint64_t>(version.value_or(0));
            return;
        }
        if (entry.key == RemoveKey) {
            const auto flag = parseFlag(entry.value);
            check(flag.has_value(), entry, "yes or no");
            change.remove = flag.value_or(false);
            return;
        }
        if constexpr (std::is_same_v<T, Pool>) {
            parseTarget(change.next, entry);
        } else {
            parseField(change.next, entry);
        }
    }

    template<class T>
    void parseField(T &object, const IniEntry &entry)
    {
        std::vector<std::string_view> keys = {BasedOnKey, RemoveKey};
        for (const Field<T> &it : fieldsOf<T>()) {
            if (it.key == entry.key) {
                check(it.read(object, entry.value), entry, it.allowed);
                return;
            }
            keys.push_back(it.key);
        }
        unknownKey(entry, keys);
    }

    void parseTarget(Pool &pool, const IniEntry &entry)
    {
        if (!entry.key.starts_with(TargetPrefix)) {
            unknownKey(entry, {BasedOnKey, RemoveKey, "target-NAME"});
            return;
        }
        Target target;
        target.name = entry.key.substr(TargetPrefix.size());
        if (!validName(target.name)) {
            addError(entry.line, entry.key + ": the target's name follows target-, as in target-a1");
        }
        const std::string wrong = readTarget(target, entry.value);
        if (!wrong.empty()) {
            addError(entry.line, entry.key + " = " + entry.value + ": " + wrong);
        }
        pool.targets.push_back(std::move(target));
        sortByName(pool.targets);
    }

    template<class T>
    void requireFields(const Change<T> &change, const IniSection &section)
    {
        const std::string where = "[" + section.kind + " " + section.name + "] ";
        if (!m_keys.contains(std::string(BasedOnKey))) {
            addError(section.line,
                     where + "based-on is missing: the version that the change is based on, or 0 for a new one");
        }
        if (change.remove) {
            const bool more = m_keys.size() > 2;
            if (more || change.basedOn == 0) {
                addError(section.line,
                         where + "remove = yes needs based-on with the current version, and nothing else");
            }
            return;
        }
        for (const Field<T> &it : fieldsOf<T>()) {
            if (it.required && !m_keys.contains(std::string(it.key))) {
                addError(section.line, where + std::string(it.key) + " is missing: " + it.allowed);
            }
        }
    }

    /// Records the key of an entry; reports one that appears twice in its section.
    bool once(const IniEntry &entry)
    {
        if (m_keys.insert(entry.key).second) {
            return true;
        }
        addError(entry.line, entry.key + " appears twice in its section");
        return false;
    }

    void check(bool allowed, const IniEntry &entry, std::string_view what)
    {
        if (!allowed) {
            addError(entry.line, entry.key + " = " + entry.value + ": allowed is " + std::string(what));
        }
    }

    void unknownKey(const IniEntry &entry, std::span<const std::string_view> keys)
    {
        addError(entry.line, "unknown key " + entry.key + "; nearest is " + std::string(nearestName(entry.key, keys)));
    }

    void unknownKey(const IniEntry &entry, std::initializer_list<std::string_view> keys)
    {
        unknownKey(entry, std::span(keys.begin(), keys.size()));
    }

    void addError(int line, std::string_view what)
    {
        errors += errors.empty() ? "" : "\n";
        errors += std::string(m_source) + ":" + std::to_string(line) + ": " + std::string(what);
    }

    std::string_view m_source;
    std::set<std::string> m_keys; // of the section being read
    bool m_headerSeen = false;
    bool m_objectSeen = false;
};

template<class T>
void renderChange(std::string &out, const Change<T> &change)
{
    out += "\n[" + std::string(Kind<T>::Name) + " " + change.next.name + "]\n";
    out += "based-on = " + std::to_string(change.basedOn) + "\n";
    if (change.remove) {
        out += "remove = yes\n";
        return;
    }
    for (const Field<T> &it : fieldsOf<T>()) {
        out += std::string(it.key) + " = " + it.write(change.next) + "\n";
    }
    if constexpr (std::is_same_v<T, Pool>) {
        for (const Target &it : change.next.targets) {
            out += std::string(TargetPrefix) + it.name + " = " + writeTarget(it) + "\n";
        }
    }
}

} // namespace

Result<Ticket> parseTicket(std::string_view text, std::string_view source)
{
    if (text.size() > MaxTicketBytes) {
        return fail(Code::BadTicket,
                    std::string(source) + ": longer than " + std::to_string(MaxTicketBytes) + " bytes");
    }
    const int malformedLine = findMalformedLine(text);
    if (malformedLine != 0) {
        return tl::make_unexpected(errorAt(source, malformedLine, "not valid UTF-8, or a control character"));
    }
    const auto sections = readIni(text, source);
    if (!sections) {
        return fail(Code::BadTicket, sections.error().detail);
    }
    TicketParser parser(source);
    for (const IniSection &it : *sections) {
        parser.parseSection(it);
    }
    parser.finish();
    if (!parser.errors.empty()) {
        return fail(Code::BadTicket, parser.errors);
    }
    return std::move(parser.ticket);
}

std::string renderTicket(const Ticket &ticket)
{
    std::string out = "[ticket]\nnumber = " + std::to_string(ticket.number) + "\noperator = " + ticket.operatorName
                      + "\ncomment = " + ticket.comment
                      + "\nallow-capacity-loss = " + (ticket.allowCapacityLoss ? "yes" : "no") + "\n";
    forEachKind([&]<class T>() {
        for (const Change<T> &it : ticket.*Kind<T>::Changes) {
            renderChange(out, it);
        }
    });
    return out;
}

Ticket ticketFrom(const Configuration &configuration)
{
    Ticket ticket;
    forEachKind([&]<class T>() {
        for (const T &it : configuration.*Kind<T>::Objects) {
            (ticket.*Kind<T>::Changes).push_back({.next = it, .basedOn = it.version, .remove = false, .line = 0});
        }
    });
    return ticket;
}

uint64_t contentHash(const Ticket &ticket)
{
    return hashBytes(renderTicket(ticket));
}

} // namespace damask
