#pragma once

#include <LibStore/MemoryStore.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Comfreysail::Fakes {

/// The calls of the platform protocol on a store in memory. Faults are the server's part.
class PlatformCalls {
public:
    struct Answer {
        unsigned status { 200 };
        std::string body;
    };

    static bool isWrite(std::string_view method);

    /// `target` is the path with query, percent-encoded.
    Answer run(std::string_view method, std::string_view target, std::string const& body);

    /// JSON for GET /stats.
    std::string stats(std::string_view mode) const;

private:
    Answer readTable(std::string_view path, std::string_view query) const;
    Answer transact(std::string const& body);
    Answer objects(std::string_view method, std::string const& name, std::string const& body);
    Answer vms(std::string_view method, std::string const& body);

    Store::MemoryStore m_store;
    uint64_t m_reads { 0 };
    uint64_t m_writes { 0 };
    uint64_t m_conflicts { 0 };
    uint64_t m_bytesReceived { 0 };
    uint64_t m_bytesSent { 0 };
};

}
