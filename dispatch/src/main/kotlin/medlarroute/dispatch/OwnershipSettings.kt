package medlarroute.dispatch

/**
 * Times of [Ownership], in milliseconds.
 *
 * @property renewMs how often an owner renews its records.
 * @property staleMs a record that did not change for so long belongs to no live owner; more than two renewals.
 * @property staleIfRefusedMs the same for an owner whose machine refuses connections; one renewal and a slow call.
 * @property yieldMs an owner that gives up to a better one lets its jobs end for so long.
 * @property quorumWaitMs without the store, an owner must be out of sight for so long; as long as a lease.
 * @property retryMs pause between two readings of the records.
 * @property tokenStep, tokenSuffix the low digits of a token name the instance, so that two never choose the same.
 */
public data class OwnershipSettings(
    val renewMs: Long = 250,
    val staleMs: Long = 650,
    val staleIfRefusedMs: Long = 450,
    val yieldMs: Long = 2_000,
    val quorumWaitMs: Long = 700,
    val retryMs: Long = 100,
    val tokenStep: Long = TOKEN_STEP,
    val tokenSuffix: Long,
)

/** Leaves 24 bits for the instance, and 29 bits below the largest integer of a JSON number for the claims. */
private const val TOKEN_STEP = 1L shl 24
