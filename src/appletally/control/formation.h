// How a control process of a mesh without a fixed list of voters gets its data folder.
//
// At the first start of the whole mesh the seeds are its first voters. They start in any order and cannot ask each other
// yet, so each works out the same members by itself: a seed's replica id follows from its address. Everybody else, and
// every later start with an empty folder, draws a random id and waits to be let in. A host that lost its disk must not
// vote under its old id: what that id promised went with the disk.
#pragma once

#include "appletally/consensus/disk_log.h"
#include "appletally/control/settings.h"

namespace appletally::control {

// The id that a seed has at the first start; never 0.
base::ReplicaId firstReplicaId(const base::Address&);

// What a folder that does not exist yet is to be formatted with.
consensus::FormatOptions formationOf(const ControlSettings&, base::ReplicaId random);

// Opens the folder and formats it where need be. A damaged one is set aside and replaced by an empty one: its replica is
// lost, as with a lost disk, and its successor learns everything from the others.
base::Result<consensus::DiskLog> openOrForm(const consensus::FileCalls&, const ControlSettings&);

} // namespace appletally::control
