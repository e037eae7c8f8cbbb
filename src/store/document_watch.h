/// Watches the control document in the store: reads it, watches later changes, and starts over when a watch ends.
///
/// Use: `DocumentWatch watch(clock, metrics, client, codec, {.changed = apply}); watch.start();`
#pragma once

#include "base/random.h"
#include "store/backoff.h"
#include "store/document_store.h"

#include <functional>
#include <memory>
#include <string>

namespace damask {

struct DocumentWatchHooks {
    std::function<void(VersionedDocument, std::string bytes)> changed; // on the watch's thread; valid values only
    RandomSource                                              random;  // default: systemRandom()
};

class DocumentWatch
{
public:
    DocumentWatch(Clock &clock, Metrics &metrics, StoreClient &client, DocumentCodec codec, DocumentWatchHooks hooks,
                  const BackoffOptions &backoff = {});
    ~DocumentWatch(); // stops

    void start(); // no effect while running
    void stop();
    bool running() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
