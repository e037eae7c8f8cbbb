/// Quotas of client accounts and limits of cold targets, as shared limits: the hooks of a node's dispatcher and
/// balancer.
///
/// Use: `NodeQuota quota(clock, metrics, options, send); quota.apply(accounts, version);` with each configuration, and
/// the other functions as hooks. Thread-safe.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "call/cancel.h"
#include "config/accounts.h"
#include "quota/allowance.h"
#include "route/balancer.h"
#include "route/dispatcher.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

struct QuotaOptions {
    Duration window = std::chrono::seconds(5); // sliding; the bound on requests of an account holds in each
    double   overrun = 0.1;                    // part of the bound in addition, for tokens that are not used yet
    double   slack = 20;                       // requests in addition to the bound
    Duration patience = std::chrono::milliseconds(60); // until a grantor counts as not answering
    double   coldOverrun = 1.5; // the bound of a cold target in one second, as a multiple of its limit
    double   coldSlack = 8;     // requests in addition to that bound
    Duration sendDelay{0};      // a request may reach its target so long after its token was taken

    std::vector<std::string> grantors; // endpoints, in the same order on all nodes; empty: this node only
    std::string              own;      // endpoint of this node
};

class NodeQuota
{
public:
    /// Sends a request to another node; never waits, and may be called under a lock of rank Route.
    using Send = std::function<void(std::string_view address, const AllowanceRequest &)>;

    NodeQuota(Clock &clock, Metrics &metrics, const QuotaOptions &options, Send send);
    ~NodeQuota();

    /// Call it after the balancer's apply(), so that no limit of an older configuration gets the new version.
    void apply(std::shared_ptr<const AccountTable> accounts, uint64_t version);

    QuotaAnswer take(const ClientAccount &account, TimePoint until, CancelToken &cancel);
    void        giveBack(const ClientAccount &account, TimePoint expiresAt); // as take() answered

    QuotaPreview state(const ClientAccount &account) const; // takes and asks for nothing

    bool                     hasColdToken(const ColdTarget &target) const;
    std::optional<TimePoint> takeColdToken(const ColdTarget &target);
    void                     wantColdToken(const ColdTarget &target);

    AllowanceGrant grant(const AllowanceRequest &request);
    void           receive(const AllowanceGrant &grant);

    void appendStatus(std::string &out) const; // a JSON object

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
