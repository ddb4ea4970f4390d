#pragma once

/// Public header of LibWire: the messages between daemons as plain structs, and their encoding.

#include <LibWire/Codec.h>
#include <LibWire/Message.h>
