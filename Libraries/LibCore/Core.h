#pragma once

/// Public header of LibCore: error kinds, results, time types, names and hashing that every other library uses.

#include <LibCore/Error.h>
#include <LibCore/ErrorKind.h>
#include <LibCore/Hash.h>
#include <LibCore/Names.h>
#include <LibCore/Result.h>
#include <LibCore/Time.h>
