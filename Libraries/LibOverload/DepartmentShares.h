#pragma once

#include <LibAdmission/DepartmentUsage.h>
#include <map>
#include <string>
#include <string_view>

namespace Comfreysail::Overload {

/// Which departments recently used more than their fair share of this daemon's sends. The usage of a department is its
/// mean number of requests in flight, so long requests count for more than short ones.
class DepartmentShares {
public:
    /// An empty name stands for no department and is ignored.
    void noteSent(std::string_view department, Core::Instant now);
    void noteFinished(std::string_view department, Core::Instant now);

    /// Returns the department's usage as a multiple of the fair share; 0 if it is the only active one.
    double usage(std::string_view department, Core::Instant now) const;

    /// Returns true if the usage is clearly more than the fair share.
    bool isOverShare(std::string_view department, Core::Instant now) const;

private:
    struct Total {
        double inFlight { 0 };
        unsigned active { 0 };
    };

    Total totalAt(Core::Instant now) const;
    void dropIdle(Core::Instant now);

    std::map<std::string, Admission::DepartmentUsage, std::less<>> m_departments;
};

}
