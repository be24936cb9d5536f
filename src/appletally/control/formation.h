// Creates the data folder of a control process in a mesh without a fixed list of voters.
//
// At the first start of the mesh the seeds are its first voters. They start in any order and cannot communicate yet, so
// each derives the same member list: a seed's replica id is a hash of its address. Every other host, and every later
// start with an empty folder, uses a random id and waits until the leader adds it. A host that lost its disk must not
// vote under its old id, because the votes that it promised under that id were lost with the disk.
#pragma once

#include "appletally/consensus/disk_log.h"
#include "appletally/control/settings.h"

namespace appletally::control {

// Replica id of a seed at the first start of the mesh; never 0.
base::ReplicaId seedReplicaId(const base::Address&);

// Options for formatting a missing data folder. `random`: the id of a replica that is no first voter.
consensus::FormatOptions formatOptionsFor(const ControlSettings&, base::ReplicaId random);

// Opens the data folder, and formats it if it is missing. A damaged folder is renamed and replaced by an empty one: its
// replica is lost, as with a lost disk, and the new replica catches up from the others.
base::Result<consensus::DiskLog> openOrFormat(const consensus::FileCalls&, const ControlSettings&);

} // namespace appletally::control
