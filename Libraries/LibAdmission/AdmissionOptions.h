#pragma once

#include <LibAdmission/RequestClass.h>
#include <array>
#include <cstddef>

namespace Comfreysail::Admission {

/// Limits of one AdmissionQueue.
struct AdmissionOptions {
    /// Most requests that wait at the same time, over all classes.
    size_t queueLimit { 256 };

    /// Largest part of the capacity that requests of each class may occupy, in percent, in the order of RequestClass.
    /// At least one request of each class is always allowed.
    std::array<unsigned, requestClassCount> classPercent { 100, 100, 50 };

    bool operator==(AdmissionOptions const&) const = default;
};

}
