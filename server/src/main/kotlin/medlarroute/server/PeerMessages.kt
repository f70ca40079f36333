package medlarroute.server

import com.google.protobuf.ByteString
import kotlinx.serialization.json.Json
import medlarroute.core.Answer
import medlarroute.core.BackendId
import medlarroute.core.CallerId
import medlarroute.core.EntryMember
import medlarroute.core.ExportedRecord
import medlarroute.core.ExportedTicket
import medlarroute.core.FailureDomainId
import medlarroute.core.Heartbeat
import medlarroute.core.Incarnation
import medlarroute.core.InstanceId
import medlarroute.core.LeavingNotice
import medlarroute.core.QuotaDemand
import medlarroute.core.QuotaGrant
import medlarroute.core.SubmissionId
import medlarroute.core.SuccessorNotice
import medlarroute.core.TeamId
import medlarroute.core.TicketId
import medlarroute.peer.HeartbeatMessage
import medlarroute.peer.LeavingBackend
import medlarroute.peer.Member
import medlarroute.peer.SubmissionRecord
import medlarroute.peer.Successor
import medlarroute.peer.TeamDemand
import medlarroute.peer.TicketRecord
import kotlin.time.Duration.Companion.milliseconds

internal fun EntryMember.toMessage(): Member = Member.newBuilder()
    .setInstance(instance.value)
    .setFailureDomain(failureDomain.value)
    .setIncarnation(incarnation.value)
    .setHost(host)
    .setPeerPort(peerPort)
    .setOperatorsPort(operatorsPort)
    .setLeaving(leaving)
    .setSequence(sequence)
    .build()

internal fun Member.toMember(): EntryMember = EntryMember(
    InstanceId(instance),
    FailureDomainId(failureDomain),
    Incarnation(incarnation),
    host,
    peerPort,
    operatorsPort,
    leaving,
    sequence,
)

internal fun SuccessorNotice.toMessage(): Successor = Successor.newBuilder()
    .setHomeInstance(homeInstance.value)
    .setHomeIncarnation(homeIncarnation.value)
    .setSuccessorInstance(successor.value)
    .setSuccessorIncarnation(successorIncarnation.value)
    .setAgeMs(age.inWholeMilliseconds)
    .build()

internal fun Successor.toNotice(): SuccessorNotice = SuccessorNotice(
    InstanceId(homeInstance),
    Incarnation(homeIncarnation),
    InstanceId(successorInstance),
    Incarnation(successorIncarnation),
    ageMs.coerceAtLeast(0).milliseconds,
)

internal fun LeavingNotice.toMessage(): LeavingBackend = LeavingBackend.newBuilder()
    .setBackend(backend.value)
    .setBackendIncarnation(incarnation)
    .setAgeMs(age.inWholeMilliseconds)
    .build()

internal fun LeavingBackend.toNotice(): LeavingNotice =
    LeavingNotice(BackendId(backend), backendIncarnation, ageMs.coerceAtLeast(0).milliseconds)

internal fun QuotaGrant.toMessage(): medlarroute.peer.QuotaGrant = medlarroute.peer.QuotaGrant.newBuilder()
    .setTeam(team.value)
    .setStartsPerSecond(startsPerSecond)
    .setExpiresInMs(expiresIn.inWholeMilliseconds)
    .setGrantNumber(number)
    .build()

internal fun medlarroute.peer.QuotaGrant.toGrant(): QuotaGrant =
    QuotaGrant(TeamId(team), startsPerSecond, expiresInMs.milliseconds, grantNumber)

internal fun Heartbeat.toMessage(): HeartbeatMessage = HeartbeatMessage.newBuilder()
    .setSender(sender.toMessage())
    .setRulesVersion(rulesVersion)
    .addAllMembers(members.map { it.toMessage() })
    .addAllSuccessors(successors.map { it.toMessage() })
    .addAllLeavingBackends(leavingBackends.map { it.toMessage() })
    .addAllGrants(grants.map { it.toMessage() })
    .addAllDemands(demands.map(::toMessage))
    .build()

private fun toMessage(demand: QuotaDemand): TeamDemand =
    TeamDemand.newBuilder().setTeam(demand.team.value).setStartsPerSecond(demand.startsPerSecond).build()

internal fun HeartbeatMessage.toHeartbeat(): Heartbeat = Heartbeat(
    sender.toMember(),
    rulesVersion,
    membersList.map { it.toMember() },
    successorsList.map { it.toNotice() },
    leavingBackendsList.map { it.toNotice() },
    grantsList.map { it.toGrant() },
    demandsList.map { QuotaDemand(TeamId(it.team), it.startsPerSecond) },
)

internal fun ExportedTicket.toMessage(): TicketRecord = TicketRecord.newBuilder()
    .setTicket(id.toString())
    .setCaller(caller.value)
    .setLowWaterSequence(lowWaterSequence)
    .build()

internal fun ExportedRecord.toMessage(ticket: TicketId): SubmissionRecord = SubmissionRecord.newBuilder()
    .setSubmission(SubmissionId(ticket, sequence).toString())
    .setDigest(digest)
    .setAnswer(
        answer?.let {
            ByteString.copyFromUtf8(Json.encodeToString(Answer.serializer(), it))
        } ?: ByteString.EMPTY,
    )
    .build()

internal fun SubmissionRecord.toRecord(sequence: Long): ExportedRecord = ExportedRecord(
    sequence,
    digest,
    if (answer.isEmpty) null else Json.decodeFromString(Answer.serializer(), answer.toStringUtf8()),
)

internal fun TicketRecord.toTicket(records: List<ExportedRecord>): ExportedTicket? =
    TicketId.parseOrNull(ticket)?.let { ExportedTicket(it, CallerId(caller), lowWaterSequence, records) }
