package medlarroute.server

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Body of `POST /v1/tasks` of a backend server. */
@Serializable
internal data class StartMessage(
    val task: String,
    val kind: String,
    val payload: String,
    val leaseMs: Long,
    val idempotent: Boolean,
)

/** Body of `PUT /v1/tasks/{task}/lease`. */
@Serializable
internal data class LeaseMessage(val leaseMs: Long)

/** State of a task as a backend server reports it. */
@Serializable
internal enum class ReportedState {
    @SerialName("running")
    RUNNING,

    @SerialName("done")
    DONE,

    @SerialName("failed")
    FAILED,
}

/** Reply to `POST /v1/tasks` and to `GET /v1/tasks/{task}`. */
@Serializable
internal data class TaskMessage(
    val state: ReportedState,
    val output: String = "",
    val message: String = "",
    val runMs: Double = 0.0,
)

/** JSON format of the backend protocol; ignores unknown fields, which later protocol versions may add. */
internal val backendJson = Json { ignoreUnknownKeys = true }
