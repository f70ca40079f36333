package medlarroute.core

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Where a request for a home is sent. */
public sealed interface HomeRoute {
    /** This instance is the home, or its successor. */
    public data object Self : HomeRoute

    /** The home is assumed to be running. */
    public data class Home(public val member: EntryMember) : HomeRoute

    /** The home has stopped; [member] replays its records. */
    public data class Successor(public val member: EntryMember) : HomeRoute

    /** No instance is known to have the records. */
    public data class Lost(public val reason: String) : HomeRoute
}

/** State of another instance as known to this one. [rulesVersion] is null before the first contact. */
public data class PeerState(
    public val member: EntryMember,
    public val reachable: Boolean,
    public val rulesVersion: Long?,
    public val sinceContact: Duration?,
)

/**
 * Entry instances and backend servers, merged from the platform's lagging list and from heartbeats.
 *
 * A higher incarnation replaces a lower one, and leaving is never withdrawn within an incarnation. A member is removed
 * only when two consecutive fetches lack it; an empty list removes nothing. An unreachable member stays: only a higher
 * incarnation or the list shows that it is dead. Not thread-safe.
 *
 * @param retention how long the successor of a stopped home is kept.
 */
public class Membership(
    self: EntryMember,
    private val settings: PeerSettings,
    private val retention: Duration,
    private val clock: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    random: Random = Random.Default,
) {
    private class Entry(var member: EntryMember) {
        var sendCount = 0
        var listed = false
        var missedFetches = 0
        var rulesVersion: Long? = null
        var lastContactAt: Duration? = null
        var isFailing = false
    }

    private class Backend(var listed: ListedBackend) {
        var missedFetches = 0

        /** Highest incarnation that a reply of the backend server reported; the list may lag behind it. */
        var contactIncarnation = 0L

        val incarnation: Long get() = maxOf(listed.incarnation, contactIncarnation)
    }

    private class SuccessorEntry(val successor: InstanceId, val incarnation: Incarnation, val since: Duration) {
        var sendCount = 0
    }

    /** This instance, as it describes itself. */
    public var self: EntryMember = self
        private set

    /** True once a higher incarnation of this instance is known: another process has replaced this one. */
    public var replaced: Boolean = false
        private set

    private val origin = clock.markNow()
    private val entries = LinkedHashMap<InstanceId, Entry>()

    /** Last known incarnations of members that the list has dropped, the oldest first. */
    private val removed = LinkedHashMap<InstanceId, Incarnation>()
    private val backends = LinkedHashMap<BackendId, Backend>()
    private val leaving = LeavingBackends()

    /** Successors of stopped homes. */
    private val successors = LinkedHashMap<Pair<InstanceId, Incarnation>, MutableList<SuccessorEntry>>()
    private val selection = PeerSelection(settings.fanOut, random)

    private val now: Duration get() = origin.elapsedNow()

    /** All other entry instances that are not known to be dead. */
    public fun peers(): List<PeerState> = entries.values.map { entry ->
        PeerState(entry.member, isReachable(entry), entry.rulesVersion, entry.lastContactAt?.let { now - it })
    }

    /** The backend servers of the last list, those that are leaving included. */
    public fun backends(): List<ListedBackend> = backends.values.map { it.listed }

    /** True if [id] is known to be leaving. */
    public fun isLeaving(id: BackendId): Boolean = leaving.isLeaving(id, backends[id]?.incarnation ?: 0)

    /** Sets the ports that this instance has bound. Call before the first heartbeat. */
    public fun setListenPorts(peerPort: Int, operatorsPort: Int = self.operatorsPort) {
        self = self.copy(peerPort = peerPort, operatorsPort = operatorsPort, sequence = self.sequence + 1)
    }

    /** Marks this instance as leaving; later heartbeats announce it. */
    public fun markLeaving() {
        if (!self.leaving) self = self.copy(leaving = true, sequence = self.sequence + 1)
    }

    /** Merges a list that was fetched from the platform. */
    public fun listFetched(list: InstanceList): List<Input> {
        val inputs = ArrayList<Input>()
        list.entries.forEach { mergeListed(it) }
        list.backends.forEach { mergeListed(it, inputs) }
        if (list.entries.isNotEmpty()) countMissedEntries(list.entries.mapTo(HashSet()) { it.instance })
        if (list.backends.isNotEmpty()) countMissedBackends(list.backends.mapTo(HashSet()) { it.server.id }, inputs)
        return inputs
    }

    /** The platform reported that the list has not changed since the last fetch. */
    public fun listUnchanged(): List<Input> {
        val inputs = ArrayList<Input>()
        val presentEntries = entries.filterValues { it.missedFetches == 0 }.keys.toSet()
        val presentBackends = backends.filterValues { it.missedFetches == 0 }.keys.toSet()
        if (presentEntries.isNotEmpty()) countMissedEntries(presentEntries)
        if (presentBackends.isNotEmpty()) countMissedBackends(presentBackends, inputs)
        return inputs
    }

    /** A reply of a backend server reported its incarnation and whether it is leaving. */
    public fun backendReplied(id: BackendId, incarnation: Long, isLeaving: Boolean): List<Input> {
        backends[id]?.let { it.contactIncarnation = maxOf(it.contactIncarnation, incarnation) }
        if (isLeaving) return addLeaving(id, incarnation, now)
        if (!leaving.repliedServing(id, incarnation)) return emptyList()
        return listOfNotNull(backends[id]?.let { Input.BackendServing(it.listed.server) })
    }

    /** Peers to send a heartbeat to in this round. */
    public fun heartbeatTargets(): List<EntryMember> {
        val (reachable, unreachable) = entries.values.partition { isReachable(it) }
        return selection.next(reachable.map { it.member }, unreachable.map { it.member })
            .mapNotNull { entries[it]?.member }
    }

    /** The next heartbeat to a peer, within [PeerSettings.heartbeatBytes]. */
    public fun heartbeat(
        rulesVersion: Long,
        grants: List<QuotaGrant> = emptyList(),
        demands: List<QuotaDemand> = emptyList(),
    ): Heartbeat {
        val base = Heartbeat(self, rulesVersion, grants = grants, demands = demands)
        val builder = HeartbeatBuilder(settings.heartbeatBytes - HeartbeatSize.of(base))
        builder.fill(
            leaving.toSend(now),
            successorsToSend(),
            entries.values.sortedBy { it.sendCount }.map { it.member },
        )
        builder.leavingBackends.forEach { leaving.markSent(it.backend) }
        builder.members.forEach { member -> entries[member.instance]?.let { it.sendCount++ } }
        builder.successors.forEach { notice ->
            successors[notice.homeInstance to notice.homeIncarnation]?.forEach { it.sendCount++ }
        }
        return base.copy(
            members = builder.members,
            successors = builder.successors,
            leavingBackends = builder.leavingBackends,
        )
    }

    /** Merges a heartbeat of a peer. */
    public fun heartbeatReceived(heartbeat: Heartbeat): List<Input> {
        mergeSender(heartbeat)
        heartbeat.members.forEach { mergeGossiped(it) }
        heartbeat.successors.forEach { successorFound(it) }
        return heartbeat.leavingBackends.flatMap { addLeaving(it.backend, it.incarnation, now - it.age) }
    }

    /** A request to the peer failed. */
    public fun contactFailed(instance: InstanceId) {
        entries[instance]?.isFailing = true
    }

    /** Records that a successor holds the complete records of a stopped home. */
    public fun successorFound(notice: SuccessorNotice) {
        val since = now - notice.age
        successors.values.forEach { known -> known.removeIf { now - it.since > retention } }
        successors.values.removeIf { it.isEmpty() }
        if (notice.age > retention) return
        val known = successors.getOrPut(notice.homeInstance to notice.homeIncarnation) { ArrayList() }
        if (known.none { it.successor == notice.successor && it.incarnation == notice.successorIncarnation }) {
            known += SuccessorEntry(notice.successor, notice.successorIncarnation, since)
        }
    }

    /** Where a request for [home] is sent. */
    public fun route(home: SubmissionRegistry.Home): HomeRoute {
        if (home == self.home) return HomeRoute.Self
        successorOf(home)?.let { return it }
        val known = entries[home.instance]?.member
        return when {
            known == null -> HomeRoute.Lost("the home of the ticket is not known")
            known.incarnation > home.incarnation -> HomeRoute.Lost("the home of the ticket was restarted")
            else -> HomeRoute.Home(known)
        }
    }

    /** Instances that can receive this one's records, the best first: own failure domain, then reachable. */
    public fun successorCandidates(): List<EntryMember> =
        entries.values.filterNot { it.member.leaving }
            .sortedWith(compareBy({ it.member.failureDomain != self.failureDomain }, { !isReachable(it) }))
            .map { it.member }

    private fun successorOf(home: SubmissionRegistry.Home): HomeRoute? {
        val known = successors[home.instance to home.incarnation] ?: return null
        if (known.any { it.successor == self.instance && it.incarnation == self.incarnation }) return HomeRoute.Self
        val alive = known.mapNotNull { successor ->
            entries[successor.successor]?.takeIf { it.member.incarnation == successor.incarnation }
        }
        return alive.sortedBy { !isReachable(it) }.firstOrNull()?.let { HomeRoute.Successor(it.member) }
    }

    private fun isReachable(entry: Entry): Boolean {
        if (!entry.isFailing) return true
        return entry.lastContactAt?.let { now - it < settings.deadAfterMs.milliseconds } ?: false
    }

    private fun mergeSender(heartbeat: Heartbeat) {
        val sender = heartbeat.sender
        if (sender.instance == self.instance) return checkReplaced(sender)
        if (removed[sender.instance]?.let { it > sender.incarnation } == true) return
        removed.remove(sender.instance)
        val entry = mergeEntry(sender) ?: return
        if (entry.member.incarnation != sender.incarnation) return
        entry.lastContactAt = now
        entry.isFailing = false
        entry.rulesVersion = maxOf(heartbeat.rulesVersion, entry.rulesVersion ?: 0)
    }

    private fun mergeGossiped(member: EntryMember) {
        if (member.instance == self.instance) return checkReplaced(member)
        val removedIncarnation = removed[member.instance]
        if (removedIncarnation == null || member.incarnation > removedIncarnation) mergeEntry(member)
    }

    private fun mergeListed(member: EntryMember) {
        if (member.instance == self.instance) return checkReplaced(member)
        // Without an incarnation, the leaving flag of the list may be about an earlier one, so it is ignored.
        val usable = if (member.incarnation.value == 0L) member.copy(leaving = false) else member
        val removedIncarnation = removed[member.instance] ?: Incarnation(0)
        if (removedIncarnation.value != 0L && removedIncarnation >= usable.incarnation) return
        removed.remove(member.instance)
        mergeEntry(usable)?.listed = true
    }

    private fun checkReplaced(member: EntryMember) {
        if (member.incarnation > self.incarnation) replaced = true
    }

    private fun mergeEntry(member: EntryMember): Entry? {
        val entry = entries[member.instance]
            ?: return Entry(member).also { add(it) }
        val merged = entry.member.merge(member)
        if (merged.incarnation > entry.member.incarnation) {
            add(Entry(merged).also { it.listed = entry.listed })
        } else if (merged != entry.member) {
            entry.member = merged
            entry.sendCount = sendCountAfterUpdate()
        }
        return entries[member.instance]
    }

    private fun add(entry: Entry) {
        entry.sendCount = sendCountAfterUpdate()
        entries[entry.member.instance] = entry
    }

    /** A changed member is sent [UPDATE_SENDS] times before unchanged ones are sent again. */
    private fun sendCountAfterUpdate(): Int = (entries.values.minOfOrNull { it.sendCount } ?: 0) - UPDATE_SENDS

    private fun countMissedEntries(present: Set<InstanceId>) {
        entries.forEach { (id, entry) ->
            entry.missedFetches = if (id in present || !entry.listed) 0 else entry.missedFetches + 1
        }
        val gone = entries.filterValues { it.missedFetches >= MISSED_FETCHES_TO_REMOVE && !hasRecentContact(it) }
        gone.forEach { (id, entry) ->
            entries.remove(id)
            removed[id] = entry.member.incarnation
        }
        while (removed.size > MAX_REMOVED) removed.remove(removed.keys.first())
    }

    private fun hasRecentContact(entry: Entry): Boolean =
        entry.lastContactAt?.let { now - it < settings.deadAfterMs.milliseconds * RECENT_CONTACT_FACTOR } ?: false

    private fun mergeListed(listed: ListedBackend, inputs: MutableList<Input>) {
        val id = listed.server.id
        val known = backends[id]
        if (known != null) known.missedFetches = 0
        if (known != null && listed.incarnation < known.listed.incarnation) return
        val wasLeaving = isLeaving(id)
        val isChanged = known == null || known.listed != listed
        (known ?: Backend(listed).also { backends[id] = it }).listed = listed
        if (listed.leaving) {
            leaving.add(id, listed.incarnation, now, listed = true)
        } else {
            leaving.listedLive(id, listed.incarnation, now)
        }
        val isNew = known == null
        val isServing = !isLeaving(id)
        val hasReturned = isServing && (isChanged || wasLeaving)
        if (isNew || hasReturned) inputs += Input.BackendServing(listed.server)
        if (!isServing && (isNew || !wasLeaving)) inputs += Input.BackendLeaving(id)
    }

    private fun addLeaving(id: BackendId, incarnation: Long, since: Duration, listed: Boolean = false): List<Input> {
        val wasLeaving = isLeaving(id)
        val isNew = leaving.add(id, incarnation, since, listed)
        return if (isNew && !wasLeaving && isLeaving(id)) listOf(Input.BackendLeaving(id)) else emptyList()
    }

    private fun countMissedBackends(present: Set<BackendId>, inputs: MutableList<Input>) {
        backends.forEach { (id, backend) -> if (id !in present) backend.missedFetches++ }
        val gone = backends.filterValues { it.missedFetches >= MISSED_FETCHES_TO_REMOVE }.keys.toList()
        gone.forEach { id ->
            backends.remove(id)
            leaving.delisted(id)
            inputs += Input.BackendRemoved(id)
        }
    }

    private fun successorsToSend(): List<SuccessorNotice> =
        successors.entries.flatMap { (home, known) -> known.map { home to it } }
            .filter { (_, it) -> now - it.since < retention }.sortedBy { (_, it) -> it.sendCount }
            .map { (home, it) ->
                SuccessorNotice(home.first, home.second, it.successor, it.incarnation, now - it.since)
            }

    private companion object {
        /** A single fetch may be truncated or served by a stale replica of the list. */
        const val MISSED_FETCHES_TO_REMOVE = 2

        /**
         * Contact counts as recent for this multiple of [PeerSettings.deadAfterMs]. At 32 instances, peers are in
         * contact every few seconds, but less often than [PeerSettings.deadAfterMs].
         */
        const val RECENT_CONTACT_FACTOR = 4
        const val MAX_REMOVED = 1_000
        const val UPDATE_SENDS = 8
    }
}

/**
 * Collects the content of a heartbeat up to [budgetBytes]. Takes entries of each kind in turn, so that no kind crowds
 * out the others; two leaving backend servers per round, since only they have to be known within seconds.
 */
private class HeartbeatBuilder(private var budgetBytes: Int) {
    val leavingBackends = ArrayList<LeavingNotice>()
    val successors = ArrayList<SuccessorNotice>()
    val members = ArrayList<EntryMember>()

    fun fill(leaving: List<LeavingNotice>, successorNotices: List<SuccessorNotice>, known: List<EntryMember>) {
        val leavingNotices = leaving.iterator()
        val round = listOf(leavingNotices, leavingNotices, successorNotices.iterator(), known.iterator())
        do {
            val added = round.map { it.hasNext() && add(it.next()) }
        } while (added.any { it })
    }

    private fun add(item: Any): Boolean = when (item) {
        is LeavingNotice -> addIfFits(HeartbeatSize.of(item)) { leavingBackends += item }
        is SuccessorNotice -> addIfFits(HeartbeatSize.of(item)) { successors += item }
        is EntryMember -> addIfFits(HeartbeatSize.of(item)) { members += item }
        else -> false
    }

    private fun addIfFits(sizeBytes: Int, add: () -> Unit): Boolean {
        if (sizeBytes > budgetBytes) return false
        budgetBytes -= sizeBytes
        add()
        return true
    }
}
