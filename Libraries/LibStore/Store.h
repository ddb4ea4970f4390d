#pragma once

/// Public header of LibStore: the port to the platform's table service, object store and VM list, the rows for settings
/// and moves, and their conditional changes. HttpCaller.h is separate, because it needs an Asio executor.

#include <LibStore/ApplyChange.h>
#include <LibStore/ChangeMove.h>
#include <LibStore/MemoryStore.h>
#include <LibStore/MoveRow.h>
#include <LibStore/Operation.h>
#include <LibStore/Row.h>
#include <LibStore/SettingsHead.h>
#include <LibStore/SettingsStore.h>
#include <LibStore/StorePort.h>
#include <LibStore/TransactionResult.h>
#include <LibStore/Vm.h>
