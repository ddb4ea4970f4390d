#pragma once

/// Public header of LibCore: error kinds, results, time types, names, hashing and compression that every other library
/// uses.

#include <LibCore/Compression.h>
#include <LibCore/Error.h>
#include <LibCore/ErrorKind.h>
#include <LibCore/Hash.h>
#include <LibCore/Names.h>
#include <LibCore/Result.h>
#include <LibCore/Time.h>
