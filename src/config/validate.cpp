#include "config/validate.h"

#include "config/kind.h"
#include "settings/address.h"
#include "settings/ini.h"

#include <map>
#include <set>

namespace damask {

namespace {

/// Gathers the problems of one configuration.
class Validator
{
public:
    explicit Validator(const Configuration &configuration)
        : m_configuration(configuration)
    {
    }

    void checkCounts()
    {
        checkCount("service", m_configuration.services.size(), MostServices);
        checkCount("pool", m_configuration.pools.size(), MostPools);
        checkCount("rule", m_configuration.rules.size(), MostRules);
        checkCount("data-centre", m_configuration.dataCentres.size(), MostDataCentres);
        checkCount("link", m_configuration.links.size(), MostLinks);
        checkCount("key", m_configuration.keys.size(), MostKeys);
        size_t targets = 0;
        for (const Pool &it : m_configuration.pools) {
            targets += it.targets.size();
        }
        checkCount("target", targets, MostTargets);
    }

    void checkPools()
    {
        std::map<std::string, std::string> owners; // "address:port" to "pool/target"
        for (const Pool &pool : m_configuration.pools) {
            for (const Target &it : pool.targets) {
                checkTarget(pool, it);
                const std::string endpoint = it.address + ":" + std::to_string(it.port);
                const auto [owner, fresh] = owners.emplace(endpoint, pool.name + "/" + it.name);
                if (!fresh) {
                    add("pool", pool.name,
                        "target-" + it.name + ": " + endpoint + " is " + owner->second
                            + " already; each target stands once, and services share its pool");
                }
            }
        }
    }

    void checkServices()
    {
        for (const Service &it : m_configuration.services) {
            refer("service", it.name, "pool", it.pool, m_configuration.pools);
        }
    }

    void checkRules()
    {
        std::map<std::string, std::string> owners; // host and prefix to rule
        for (const Rule &rule : m_configuration.rules) {
            if (!rule.service.empty()) {
                refer("rule", rule.name, "service", rule.service, m_configuration.services);
            }
            for (const auto &it : rule.dataCentres) {
                refer("rule", rule.name, "data-centres", it, m_configuration.dataCentres);
            }
            const auto [owner, fresh] = owners.emplace(rule.host + " " + rule.prefix, rule.name);
            if (!fresh) {
                add("rule", rule.name, "host and prefix are those of rule " + owner->second + "; only one may decide");
            }
        }
    }

    void checkLinks()
    {
        std::set<std::string> regions;
        for (const DataCentre &it : m_configuration.dataCentres) {
            regions.insert(it.region);
            if (it.region.find("--") != std::string::npos) {
                add("data-centre", it.name, "region = " + it.region + ": must not hold --");
            }
        }
        const std::vector<std::string_view> names(regions.begin(), regions.end());
        for (const Link &it : m_configuration.links) {
            checkLink(it, names);
        }
    }

    void checkKeys()
    {
        std::map<std::string, std::string> owners; // public key to name
        for (const PeerKey &it : m_configuration.keys) {
            const auto [owner, fresh] = owners.emplace(it.publicKey, it.name);
            if (!fresh) {
                add("key", it.name, "public-key is that of key " + owner->second + "; make a new pair");
            }
        }
    }

    std::vector<Problem> problems;

private:
    void checkCount(std::string_view kind, size_t count, size_t most)
    {
        if (count > most) {
            add(kind, "", "there would be " + std::to_string(count) + "; allowed are " + std::to_string(most));
        }
    }

    void checkTarget(const Pool &pool, const Target &target)
    {
        const std::string field = "target-" + target.name;
        if (!isIpAddress(target.address)) {
            add("pool", pool.name, field + ": " + target.address + " is not an IP number");
        }
        refer("pool", pool.name, field + " data-centre", target.dataCentre, m_configuration.dataCentres);
    }

    void checkLink(const Link &link, std::span<const std::string_view> regions)
    {
        const size_t middle = link.name.find("--");
        const std::string first = link.name.substr(0, middle);
        const std::string second = middle == std::string::npos ? "" : link.name.substr(middle + 2);
        if (first.empty() || second.empty() || first >= second) {
            add("link", link.name,
                "the name must be two regions joined by --, in alphabetical order, as in north--south");
            return;
        }
        for (const auto &it : {first, second}) {
            if (std::find(regions.begin(), regions.end(), it) == regions.end()) {
                add("link", link.name, "no data centre stands in region " + it + nearest(it, regions));
            }
        }
    }

    template<class Things>
    void refer(std::string_view kind, std::string_view name, std::string_view field, std::string_view to,
               const Things &things)
    {
        if (findNamed(things, to) != nullptr) {
            return;
        }
        std::vector<std::string_view> names;
        for (const auto &it : things) {
            names.push_back(it.name);
        }
        const std::string_view word = Kind<typename Things::value_type>::Word;
        add(kind, name,
            std::string(field) + " = " + std::string(to) + ": there is no such " + std::string(word)
                + nearest(to, names));
    }

    static std::string nearest(std::string_view word, std::span<const std::string_view> names)
    {
        const std::string_view name = nearestName(word, names);
        return name.empty() ? "; there is none yet" : "; nearest is " + std::string(name);
    }

    void add(std::string_view kind, std::string_view name, std::string_view what)
    {
        problems.push_back({kind, std::string(name), std::string(what)});
    }

    const Configuration &m_configuration;
};

} // namespace

std::vector<Problem> findProblems(const Configuration &configuration)
{
    Validator validator(configuration);
    validator.checkCounts();
    validator.checkPools();
    validator.checkServices();
    validator.checkRules();
    validator.checkLinks();
    validator.checkKeys();
    return std::move(validator.problems);
}

} // namespace damask
