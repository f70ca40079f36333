package medlarroute.dispatch

/**
 * Passes the jobs that are submitted to this instance, by its own callers or by others, to its dispatcher. Answers
 * those whose results are known, and sends back those that another owner has to run.
 *
 * @param self name of this instance.
 * @param sendMoved tells the instance that waits for a job that it has to be submitted elsewhere.
 */
internal class JobSubmissions(
    private val self: String,
    private val dispatcher: Dispatcher,
    private val network: PeerNetwork,
    private val results: RecentResults,
    private val sendMoved: (origin: JobOrigin, job: JobId, progress: JobProgress, openAt: String?) -> Unit,
) {
    private var lastRenewalAtMs = 0L

    /** Renews the jobs of this instance's own callers. */
    fun renewOwn(entry: EntryService) {
        // What has arrived before the last tick has been read, also if the process was paused since.
        val nowMs = dispatcher.nowMs()
        dispatcher.renew(self, entry.openRequestsAt(self), nowMs - lastRenewalAtMs)
        lastRenewalAtMs = nowMs
    }

    fun onSubmit(instance: String, message: PeerMessage.Submit) {
        val origin = JobOrigin(instance, message.number)
        val recorded = results.find(origin, message.job.id)
        // A job that was sent on already is run here, so that two owners can't send it back and forth.
        val openAt = if (message.progress == null) dispatcher.openJobSystem.otherOwnerOrNull(message.job.id) else null
        when {
            recorded != null -> network.send(instance, PeerMessage.Ended(message.number, message.job.id, recorded))

            dispatcher.ownedDomains.isEmpty() ->
                sendMoved(origin, message.job.id, message.progress ?: JobProgress(), null)

            openAt != null && network.isAlive(openAt) -> sendMoved(origin, message.job.id, NOT_STARTED, openAt)

            else -> dispatcher.submit(
                message.job,
                origin,
                message.timeoutMs,
                message.waitedMs,
                message.progress,
                renewedMsAgo(instance, message),
                message.unreadMs,
            )
        }
    }

    /** Time since [instance] has certainly waited for the job; longer than any lease if that is unknown. */
    private fun renewedMsAgo(instance: String, message: PeerMessage.Submit): Long {
        if (instance == self) return dispatcher.nowMs() - lastRenewalAtMs
        val ageMs = message.heardAtMs?.let(network::ageMsOrNull)
        // The instance renews the request as soon as it has received a recent time.
        if (ageMs == null || ageMs > RECENT_MS) network.sendHeartbeatNow(instance)
        return ageMs ?: UNKNOWN_AGE_MS
    }

    fun onCancel(instance: String, message: PeerMessage.Cancel) {
        dispatcher.cancel(message.job, JobOrigin(instance, message.number), "caller left")
    }

    private companion object {
        val NOT_STARTED = JobProgress(ordered = emptyList())

        /** A job that was renewed within this time starts at once on most backend servers. */
        const val RECENT_MS = 300L

        /** Longer than any lease. */
        const val UNKNOWN_AGE_MS = 60_000L
    }
}
