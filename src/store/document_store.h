/// Loads and stores the control document under its key in the store. The codec is a hook.
#pragma once

#include "control/document.h"
#include "store/client.h"

#include <functional>
#include <string_view>

namespace damask {

constexpr std::string_view DocumentKey = "/damask/document";

/// Serialisation of the control document.
struct DocumentCodec {
    std::function<std::string(const ControlDocument &)>      encode;
    std::function<Result<ControlDocument>(std::string_view)> decode;
};

/// The client and the metrics must outlive the returned object. A missing key loads as an empty document of version 0.
DocumentStore makeDocumentStore(StoreClient &client, Metrics &metrics, DocumentCodec codec);

/// Decodes a value of the document's key. Counts and logs StoreBadValue.
Result<VersionedDocument> readDocument(const StoreEntry &entry, Metrics &metrics, const DocumentCodec &codec);

} // namespace damask
