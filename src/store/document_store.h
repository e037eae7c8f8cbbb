/// The control document over the store's client: its one key, and the codec as a hook.
#pragma once

#include "control/document.h"
#include "store/client.h"

#include <functional>
#include <string_view>

namespace damask {

constexpr std::string_view DocumentKey = "/damask/document";

/// How a document becomes bytes and back.
struct DocumentCodec {
    std::function<std::string(const ControlDocument &)>      encode;
    std::function<Result<ControlDocument>(std::string_view)> decode;
};

/// The client and the metrics must outlive what is returned. A missing key loads as an empty document of version 0.
DocumentStore makeDocumentStore(StoreClient &client, Metrics &metrics, DocumentCodec codec);

/// Reads one value of the document's key; StoreBadValue is counted and logged.
Result<VersionedDocument> readDocument(const StoreEntry &entry, Metrics &metrics, const DocumentCodec &codec);

} // namespace damask
