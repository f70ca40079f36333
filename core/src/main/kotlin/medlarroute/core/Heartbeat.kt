package medlarroute.core

import kotlin.time.Duration

/** State that two entry instances exchange; both sides merge what they receive. Its size is bounded. */
public data class Heartbeat(
    public val sender: EntryMember,
    public val rulesVersion: Long,
    public val members: List<EntryMember> = emptyList(),
    public val successors: List<SuccessorNotice> = emptyList(),
    public val leavingBackends: List<LeavingNotice> = emptyList(),
    public val grants: List<QuotaGrant> = emptyList(),
    public val demands: List<QuotaDemand> = emptyList(),
)

/** [successor] replays the records of a stopped home. [age] counts from the end of the hand-over. */
public data class SuccessorNotice(
    public val homeInstance: InstanceId,
    public val homeIncarnation: Incarnation,
    public val successor: InstanceId,
    public val successorIncarnation: Incarnation,
    public val age: Duration,
)

/** A backend server is leaving. [age] counts from the first observation. */
public data class LeavingNotice(
    public val backend: BackendId,
    public val incarnation: Long,
    public val age: Duration,
)

/**
 * Part of a team's quota that the sender lends to the receiver.
 *
 * @property expiresIn validity, counted from the receiver's request that the message with the grant replies to.
 * @property number sequence number of the grant within the lender's incarnation.
 */
public data class QuotaGrant(
    public val team: TeamId,
    public val startsPerSecond: Double,
    public val expiresIn: Duration,
    public val number: Long,
)

/** Starts per second that the sender would like to borrow for a team. */
public data class QuotaDemand(public val team: TeamId, public val startsPerSecond: Double)

/**
 * Upper bounds of the encoded sizes of the parts of a heartbeat, in bytes. Varints are counted with the longest
 * encoding that their values have in practice.
 */
internal object HeartbeatSize {
    private const val MEMBER_FIXED_BYTES = 30
    private const val RULES_VERSION_BYTES = 6
    private const val SUCCESSOR_FIXED_BYTES = 30
    private const val LEAVING_FIXED_BYTES = 21
    private const val GRANT_FIXED_BYTES = 23
    private const val DEMAND_FIXED_BYTES = 13

    fun of(heartbeat: Heartbeat): Int =
        RULES_VERSION_BYTES + of(heartbeat.sender) + heartbeat.members.sumOf { of(it) } +
            heartbeat.successors.sumOf { of(it) } + heartbeat.leavingBackends.sumOf { of(it) } +
            heartbeat.grants.sumOf { GRANT_FIXED_BYTES + bytes(it.team.value) } +
            heartbeat.demands.sumOf { DEMAND_FIXED_BYTES + bytes(it.team.value) }

    fun of(member: EntryMember): Int =
        MEMBER_FIXED_BYTES + bytes(member.instance.value) + bytes(member.failureDomain.value) + bytes(member.host)

    fun of(notice: SuccessorNotice): Int =
        SUCCESSOR_FIXED_BYTES + bytes(notice.homeInstance.value) + bytes(notice.successor.value)

    fun of(notice: LeavingNotice): Int = LEAVING_FIXED_BYTES + bytes(notice.backend.value)

    private fun bytes(text: String): Int = text.encodeToByteArray().size
}
