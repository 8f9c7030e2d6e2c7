#ifndef RHUBARBRUN_PROTOCOL_STRICT_ARCHIVE_HPP
#define RHUBARBRUN_PROTOCOL_STRICT_ARCHIVE_HPP

// The state layer saves its state with the same archives.
#include <rhubarbrun/state/strict_archive.hpp>

#endif
