package medlarroute.server

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import medlarroute.core.BackendId
import medlarroute.core.BackendServer
import medlarroute.core.EntryMember
import medlarroute.core.FailureDomainId
import medlarroute.core.Incarnation
import medlarroute.core.InstanceId
import medlarroute.core.InstanceList
import medlarroute.core.ListedBackend

/** Why a request to the platform failed. */
internal sealed interface PlatformError {
    /** The condition of a write did not hold; nothing was written. */
    data object ConditionFailed : PlatformError

    /** A read had no result, or a write was not delivered or not processed: nothing was written. */
    data class Unavailable(val reason: String) : PlatformError

    /** A write had no reply or a server error as its reply: it may have taken effect, or may still do so. */
    data class OutcomeUnknown(val reason: String) : PlatformError

    /** The platform rejected the request; a retry would be rejected as well. */
    data class Rejected(val httpStatus: Int, val message: String) : PlatformError
}

/** Result of a read. */
internal sealed interface Fetched<out T> {
    /** The value, with the entity tag for later conditional reads and writes. */
    data class Present<T>(val value: T, val etag: String) : Fetched<T>

    /** The value still has the entity tag given in the read. */
    data object Unchanged : Fetched<Nothing>

    /** The row does not exist. */
    data object Absent : Fetched<Nothing>
}

/** Condition of a write. */
internal sealed interface WriteCondition {
    /** The row must not exist. */
    data object Absent : WriteCondition

    /** The row must still have this entity tag. */
    data class Unchanged(val etag: String) : WriteCondition
}

/** A row to insert in a transaction. */
internal data class NewRow(val key: String, val value: JsonElement)

/** Body of a transaction: all writes take effect, or none does. */
@Serializable
internal data class TransactionBody(val writes: List<TransactionWrite>)

/** One write of a transaction. [ifNoneMatch] is `*`: the row must not exist. */
@Serializable
internal data class TransactionWrite(val key: String, val value: JsonElement, val ifNoneMatch: String)

/** Body of the platform's list of instances. */
@Serializable
internal data class InstanceListBody(val instances: List<ListedInstance> = emptyList()) {
    fun toList(): InstanceList = InstanceList(
        instances.filter { it.role == "entry" }.map { it.toEntry() },
        instances.filter { it.role == "backend" }.map { it.toBackend() },
    )
}

/**
 * An instance in the platform's list.
 *
 * @property port for an entry instance the peers' port if [peerPort] is 0.
 * @property incarnation identifies one run of the instance's process; 0 if the platform does not report it.
 */
@Serializable
internal data class ListedInstance(
    val id: String,
    val role: String,
    val failureDomain: String,
    val host: String,
    val port: Int,
    val state: String = "live",
    val rack: String = "",
    val slots: Int = 0,
    val cores: Int = 0,
    val accelerators: Int = 0,
    val incarnation: Long = 0,
    val peerPort: Int = 0,
    val operatorsPort: Int = 0,
) {
    private val isLeaving: Boolean get() = state == "leaving"

    fun toEntry(): EntryMember = EntryMember(
        InstanceId(id),
        FailureDomainId(failureDomain),
        Incarnation(incarnation),
        host,
        if (peerPort > 0) peerPort else port,
        operatorsPort,
        isLeaving,
    )

    fun toBackend(): ListedBackend {
        val server = BackendServer(BackendId(id), FailureDomainId(failureDomain), slots, rack, cores, accelerators)
        return ListedBackend(server, host, port, isLeaving, incarnation)
    }
}
