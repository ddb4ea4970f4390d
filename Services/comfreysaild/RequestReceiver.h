#pragma once

#include "EntryRequest.h"
#include "TargetSelector.h"
#include <random>

namespace Comfreysail::Daemon {

/// Receives a caller's request: finds its route and deadline, reads its body, and refuses what cannot be served. Not
/// thread safe.
class RequestReceiver {
public:
    RequestReceiver(TargetSelector&, EntryState&);

    /// Errors: the reason to refuse the request.
    HTTP::awaitable<Core::Result<Core::Empty>> receive(EntryRequest&);

private:
    HTTP::awaitable<Core::Result<Core::Empty>> receiveBody(EntryRequest&);
    /// Sets the department and the rank of a request whose route is known. Errors: the kinds with status 401.
    Core::Result<Core::Empty> identifyDepartment(EntryRequest&) const;
    /// Waits for a slot among the requests that may hold a connection to a target.
    HTTP::awaitable<Core::Result<Core::Empty>> takeSendSlot(EntryRequest&);
    double uniform();

    TargetSelector& m_selector;
    EntryState& m_state;
    std::mt19937_64 m_generator { std::random_device {}() };
};

}
