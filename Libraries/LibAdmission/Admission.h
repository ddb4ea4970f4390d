#pragma once

/// Public header of LibAdmission: bounded queues with deadlines, fair shares among departments, and limits per request
/// class.

#include <LibAdmission/AdmissionOptions.h>
#include <LibAdmission/AdmissionQueue.h>
#include <LibAdmission/Admitted.h>
#include <LibAdmission/QueuedRequest.h>
#include <LibAdmission/RefusedRequest.h>
#include <LibAdmission/RequestClass.h>
#include <LibAdmission/Ticket.h>
