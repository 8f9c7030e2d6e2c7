#ifndef RHUBARBRUN_TRANSPORT_DIRECTORY_COPIES_HPP
#define RHUBARBRUN_TRANSPORT_DIRECTORY_COPIES_HPP

#include <rhubarbrun/state/directory.hpp>
#include <rhubarbrun/transport/ranked_mutex.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

namespace rhubarbrun::inline v1 {

/// Applies deltas and hands out the result as immutable views, which several
/// threads may read.
///
/// A view that nobody reads any more is brought up to date with the deltas that
/// it lacks and becomes the next one, so that a delta costs what it changes
/// instead of a copy of the whole directory. Without such a view the newest one
/// is copied. Used by one thread at a time; views may be read and dropped by
/// any.
class directory_copies
{
public:
    directory_copies();

    /// Applies `delta`; a new view exists only if the outcome is `applied`.
    auto apply(const directory_delta& delta) -> delta_outcome;

    /// The newest view; never null.
    [[nodiscard]] auto newest() const -> const std::shared_ptr<const directory>&
    {
        return newest_;
    }

    /// Times at which the whole directory was copied.
    [[nodiscard]] auto full_copies() const noexcept -> std::uint64_t
    {
        return full_copies_;
    }

private:
    /// The last view that was dropped. Outlives the views.
    struct retired
    {
        ranked_mutex mutex{lock_rank::retired_directories};
        std::unique_ptr<directory> last;
    };

    /// Deltas kept; a complete one ends the row. A view that is further behind
    /// is not used again.
    static constexpr std::size_t most_deltas = 16;

    [[nodiscard]] auto take_writable() -> std::unique_ptr<directory>;
    [[nodiscard]] auto publish(std::unique_ptr<directory> changed) const
        -> std::shared_ptr<const directory>;

    std::shared_ptr<retired> retired_ = std::make_shared<retired>();
    std::shared_ptr<const directory> newest_;
    std::deque<directory_delta> deltas_;
    std::uint64_t full_copies_ = 0;
};

} // namespace rhubarbrun::inline v1

#endif
