#pragma once

#include <LibAdmission/WaitingRequest.h>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Comfreysail::Admission {

/// The waiting requests of one class, one queue for each department, served by deficit round robin. A round gives the
/// heaviest waiting department one request and the others their fraction of one, so no department sends bursts.
class FairQueue {
public:
    using MayTake = std::function<bool(std::string const& department)>;

    void push(WaitingRequest);

    /// Puts back what popNext() took, without charging the department for it.
    void pushFront(WaitingRequest);

    /// Takes the next request among the departments that may take one; nullopt when there is none.
    std::optional<WaitingRequest> popNext(MayTake const&);

    /// Takes the newest request of a department.
    std::optional<WaitingRequest> popNewest(std::string const& department);

    bool remove(std::string const& department, Ticket);

    size_t size() const { return m_size; }
    bool empty() const { return m_size == 0; }
    size_t sizeOf(std::string const& department) const;

    /// Sum of the weights of departments that wait, plus the given department's if it does not.
    unsigned waitingWeight(std::string const& department, unsigned weight) const;

private:
    struct Department {
        unsigned weight { 1 };
        double deficit { 0 };
        std::deque<WaitingRequest> waiting;
    };

    Department& activate(QueuedRequest const&);
    void removeIfEmpty(std::string const& department);

    std::map<std::string, Department> m_departments; ///< Only departments that wait.
    std::deque<std::string> m_round;                 ///< The same departments in the order of their turns.
    size_t m_size { 0 };
};

}
