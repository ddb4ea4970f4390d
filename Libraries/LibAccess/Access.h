#pragma once

#include <LibAccess/Authenticate.h>
#include <LibAccess/Department.h>
#include <LibAccess/DepartmentKeys.h>
#include <LibAccess/KeyHash.h>
#include <LibAccess/KeyRefusal.h>
#include <LibAccess/KeyTable.h>
