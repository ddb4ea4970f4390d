#pragma once

#include <LibAdmission/WaitingRequest.h>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Comfreysail::Admission {

/// The queued requests of one class, with one queue for each department, served by deficit round robin. In each round
/// the department with the highest weight gets one request and each other one a fraction according to its weight, so no
/// department sends bursts.
class FairQueue {
public:
    using MayTake = std::function<bool(std::string const& department)>;

    void push(WaitingRequest);

    /// Puts back a request from popNext() at the head of its department's queue, without charging the department for
    /// it.
    void pushFront(WaitingRequest);

    /// Takes the next request of the departments for which the function returns true; nullopt if there is none.
    std::optional<WaitingRequest> popNext(MayTake const&);

    /// Takes the newest request of a department; nullopt if it has none.
    std::optional<WaitingRequest> popNewest(std::string const& department);

    bool remove(std::string const& department, Ticket);

    size_t size() const { return m_size; }
    bool empty() const { return m_size == 0; }
    size_t sizeOf(std::string const& department) const;

    /// Returns the sum of the weights of departments with queued requests, plus the given weight if the given
    /// department has none.
    unsigned waitingWeight(std::string const& department, unsigned weight) const;

private:
    struct Department {
        unsigned weight { 1 };
        double deficit { 0 };
        std::deque<WaitingRequest> waiting;
    };

    Department& activate(QueuedRequest const&);
    void removeIfEmpty(std::string const& department);

    std::map<std::string, Department> m_departments; ///< Only departments with queued requests.
    std::deque<std::string> m_round;                 ///< The same departments in the order in which they are served.
    size_t m_size { 0 };
};

}
