#include "config/validate.h"

#include "config/kind.h"
#include "settings/address.h"
#include "settings/ini.h"

#include <map>
#include <set>

namespace damask {

namespace {

/// Collects the problems of one configuration.
class Validator
{
public:
    explicit Validator(const Configuration &configuration)
        : m_configuration(configuration)
    {
    }

    void checkCounts()
    {
        checkCount("service", m_configuration.services.size(), MaxServices);
        checkCount("pool", m_configuration.pools.size(), MaxPools);
        checkCount("rule", m_configuration.rules.size(), MaxRules);
        checkCount("data-centre", m_configuration.dataCentres.size(), MaxDataCentres);
        checkCount("link", m_configuration.links.size(), MaxLinks);
        checkCount("key", m_configuration.keys.size(), MaxKeys);
        size_t targets = 0;
        for (const Pool &it : m_configuration.pools) {
            targets += it.targets.size();
        }
        checkCount("target", targets, MaxTargets);
    }

    void checkPools()
    {
        std::map<std::string, std::string> owners; // "address:port" to "pool/target"
        for (const Pool &pool : m_configuration.pools) {
            for (const Target &it : pool.targets) {
                checkTarget(pool, it);
                const std::string endpoint = it.address + ":" + std::to_string(it.port);
                const auto [owner, inserted] = owners.emplace(endpoint, pool.name + "/" + it.name);
                if (!inserted) {
                    add("pool", pool.name,
                        "target-" + it.name + ": " + endpoint + " is " + owner->second
                            + " already; list each target once and let services share its pool");
                }
            }
        }
    }

    void checkServices()
    {
        for (const Service &it : m_configuration.services) {
            checkReference("service", it.name, "pool", it.pool, m_configuration.pools);
        }
    }

    void checkRules()
    {
        std::map<std::string, std::string> owners; // host and prefix to rule
        for (const Rule &rule : m_configuration.rules) {
            if (!rule.service.empty()) {
                checkReference("rule", rule.name, "service", rule.service, m_configuration.services);
            }
            for (const auto &it : rule.dataCentres) {
                checkReference("rule", rule.name, "data-centres", it, m_configuration.dataCentres);
            }
            const auto [owner, inserted] = owners.emplace(rule.host + " " + rule.prefix, rule.name);
            if (!inserted) {
                add("rule", rule.name,
                    "host and prefix are those of rule " + owner->second + "; only one rule may have them");
            }
        }
    }

    void checkLinks()
    {
        std::set<std::string> regions;
        for (const DataCentre &it : m_configuration.dataCentres) {
            regions.insert(it.region);
            if (it.region.find("--") != std::string::npos) {
                add("data-centre", it.name, "region = " + it.region + ": must not contain --");
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
            const auto [owner, inserted] = owners.emplace(it.publicKey, it.name);
            if (!inserted) {
                add("key", it.name, "public-key is that of key " + owner->second + "; generate a new key pair");
            }
        }
    }

    std::vector<Problem> problems;

private:
    void checkCount(std::string_view kind, size_t count, size_t limit)
    {
        if (count > limit) {
            add(kind, "", "there would be " + std::to_string(count) + "; allowed are " + std::to_string(limit));
        }
    }

    void checkTarget(const Pool &pool, const Target &target)
    {
        const std::string field = "target-" + target.name;
        if (!isIpAddress(target.address)) {
            add("pool", pool.name, field + ": " + target.address + " is not an IP address");
        }
        checkReference("pool", pool.name, field + " data-centre", target.dataCentre, m_configuration.dataCentres);
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
                add("link", link.name, "no data centre is in region " + it + suggestion(it, regions));
            }
        }
    }

    template<class Objects>
    void checkReference(std::string_view kind, std::string_view name, std::string_view field, std::string_view to,
                        const Objects &objects)
    {
        if (findNamed(objects, to) != nullptr) {
            return;
        }
        std::vector<std::string_view> names;
        for (const auto &it : objects) {
            names.push_back(it.name);
        }
        const std::string_view word = Kind<typename Objects::value_type>::Name;
        add(kind, name,
            std::string(field) + " = " + std::string(to) + ": there is no such " + std::string(word)
                + suggestion(to, names));
    }

    static std::string suggestion(std::string_view word, std::span<const std::string_view> names)
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
