#include "store/document_store.h"

#include "base/log.h"

namespace damask {

Result<VersionedDocument> readDocument(const StoreEntry &entry, Metrics &metrics, const DocumentCodec &codec)
{
    auto document = codec.decode(entry.value);
    if (!document) {
        metrics.count("damask_store_bad_values_total");
        logEvent(Severity::Error, "store-bad-value",
                 {{"code", codeNumber(Code::StoreBadValue)},
                  {"key", entry.key},
                  {"version", entry.version},
                  {"reason", document.error().detail}});
        return fail(Code::StoreBadValue, document.error().detail);
    }
    return VersionedDocument{std::move(*document), entry.version};
}

DocumentStore makeDocumentStore(StoreClient &client, Metrics &metrics, DocumentCodec codec)
{
    DocumentStore out;
    out.load = [&client, &metrics, codec]() -> Result<VersionedDocument> {
        const auto entry = client.get(DocumentKey);
        if (!entry && entry.error().code == Code::NotFound) {
            return VersionedDocument{};
        }
        if (!entry) {
            return tl::make_unexpected(entry.error());
        }
        return readDocument(*entry, metrics, codec);
    };
    out.swap = [&client, codec](const ControlDocument &document, uint64_t version) {
        return client.swap({.key = std::string(DocumentKey),
                            .value = codec.encode(document),
                            .version = version,
                            .lease = 0,
                            .fence = std::nullopt});
    };
    return out;
}

} // namespace damask
