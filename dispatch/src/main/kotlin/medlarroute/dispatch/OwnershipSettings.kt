package medlarroute.dispatch

/**
 * Times of [Ownership], in milliseconds.
 *
 * @property renewMs how often an owner renews its records.
 * @property staleMs time without a change after which a record counts as abandoned; longer than two renewal intervals.
 * @property staleIfRefusedMs the same for an owner whose machine refuses connections; one renewal interval plus a slow
 *   call to the store.
 * @property yieldMs how long an owner that yields to a better one waits for its jobs to end.
 * @property quorumWaitMs how long a failure domain must be without an owner before it is claimed without the store; as
 *   long as a lease.
 * @property otherDomainWaitMs how long a failure domain must be without an owner before an instance of another one
 *   claims it, in deployments with an owner per failure domain: the difference between the starts of two machines. A
 *   domain claimed too early has to be released again, which stops the runs there.
 * @property retryMs pause between two reads of the records.
 * @property tokenStep distance between two consecutive tokens of an instance.
 * @property tokenSuffix low digits of all tokens of this instance, so that two instances never choose the same token.
 */
public data class OwnershipSettings(
    val renewMs: Long = 250,
    val staleMs: Long = 650,
    val staleIfRefusedMs: Long = 450,
    val yieldMs: Long = 2_000,
    val quorumWaitMs: Long = 700,
    val otherDomainWaitMs: Long = 800,
    val retryMs: Long = 100,
    val tokenStep: Long = TOKEN_STEP,
    val tokenSuffix: Long,
)

/** Leaves 24 bits for the instance; 29 bits remain for the claims, since JSON numbers are exact up to 53 bits. */
private const val TOKEN_STEP = 1L shl 24
