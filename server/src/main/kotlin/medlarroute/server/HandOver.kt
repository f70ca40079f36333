package medlarroute.server

import io.grpc.Status
import io.grpc.stub.ClientCallStreamObserver
import io.grpc.stub.ClientResponseObserver
import io.grpc.stub.StreamObserver
import kotlinx.serialization.SerializationException
import medlarroute.core.EntryMember
import medlarroute.core.ExportedRecord
import medlarroute.core.RegistryExport
import medlarroute.core.SubmissionId
import medlarroute.core.SubmissionRegistry
import medlarroute.core.SuccessorNotice
import medlarroute.core.TicketId
import medlarroute.peer.HandOverBatch
import medlarroute.peer.HandOverReply
import medlarroute.peer.Member
import medlarroute.peer.SubmissionRecord
import medlarroute.peer.TicketRecord
import org.apache.logging.log4j.LogManager
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration

/** Notice that this member has the records of [home]. */
internal fun EntryMember.toSuccessorNotice(home: SubmissionRegistry.Home): SuccessorNotice =
    SuccessorNotice(home.instance, home.incarnation, instance, incarnation, Duration.ZERO)

/** Sends the records of this instance to a successor. */
internal class HandOver(
    private val members: MemberTable,
    private val client: PeerClient,
    private val timeout: Duration,
) {
    /** Tries candidates in turn; completes with the one that has received all records, or with null. */
    fun send(export: RegistryExport): CompletableFuture<EntryMember?> {
        val batches = batches(members.self, export)
        return tryNext(ArrayDeque(members.successorCandidates().take(MAX_ATTEMPTS)), batches, export)
    }

    private fun tryNext(
        candidates: ArrayDeque<EntryMember>,
        batches: List<HandOverBatch>,
        export: RegistryExport,
    ): CompletableFuture<EntryMember?> {
        val candidate = candidates.removeFirstOrNull() ?: return CompletableFuture.completedFuture(null)
        return stream(PeerAddress(candidate.host, candidate.peerPort), batches).handle { reply, cause ->
            if (cause == null && isComplete(reply, export)) {
                members.successorFound(candidate.toSuccessorNotice(export.home))
                CompletableFuture.completedFuture<EntryMember?>(candidate)
            } else {
                log.warn("peer: the hand-over to {} failed: {}", candidate.instance, cause?.message)
                tryNext(candidates, batches, export)
            }
        }.thenCompose { it }
    }

    private fun isComplete(reply: HandOverReply, export: RegistryExport): Boolean =
        reply.tickets == export.tickets.size.toLong() &&
            reply.submissions == export.tickets.sumOf { it.records.size.toLong() }

    private fun stream(to: PeerAddress, batches: List<HandOverBatch>): CompletableFuture<HandOverReply> {
        val result = CompletableFuture<HandOverReply>()
        client.handOver(to, BatchSender(batches, result), timeout)
        return result
    }

    /** Writes batches with the flow control of the stream. */
    private class BatchSender(batches: List<HandOverBatch>, private val result: CompletableFuture<HandOverReply>) :
        ClientResponseObserver<HandOverBatch, HandOverReply> {
        private val remaining = ArrayDeque(batches)
        private val ended = AtomicBoolean()

        override fun beforeStart(requests: ClientCallStreamObserver<HandOverBatch>) {
            requests.setOnReadyHandler { write(requests) }
        }

        override fun onNext(reply: HandOverReply) {
            result.complete(reply)
        }

        override fun onError(cause: Throwable) {
            result.completeExceptionally(cause)
        }

        override fun onCompleted() {
            result.completeExceptionally(Status.INTERNAL.withDescription("no reply").asException())
        }

        @Synchronized
        private fun write(requests: ClientCallStreamObserver<HandOverBatch>) {
            while (requests.isReady && remaining.isNotEmpty()) requests.onNext(remaining.removeFirst())
            if (remaining.isEmpty() && ended.compareAndSet(false, true)) requests.onCompleted()
        }
    }

    internal companion object {
        /** With more attempts, a caller that repeats its request would time out before the records are available. */
        private const val MAX_ATTEMPTS = 4
        private const val MAX_BATCH_BYTES = 262_144
        private val log = LogManager.getLogger(HandOver::class.java)

        /** Splits [export] into messages of about 256 KiB; one record may be larger. */
        fun batches(self: EntryMember, export: RegistryExport): List<HandOverBatch> {
            val home = self.toMessage()
            val batches = ArrayList<HandOverBatch>()
            var batch = HandOverBatch.newBuilder().setHome(home)
            var batchBytes = 0
            for (ticket in export.tickets) {
                batch.addTickets(ticket.toMessage())
                for (record in ticket.records) {
                    val message = record.toMessage(ticket.id)
                    if (batchBytes + message.serializedSize > MAX_BATCH_BYTES) {
                        batches += batch.build()
                        batch = HandOverBatch.newBuilder().setHome(home)
                        batchBytes = 0
                    }
                    batch.addSubmissions(message)
                    batchBytes += message.serializedSize
                }
                batchBytes += TICKET_BYTES
            }
            return batches + batch.setComplete(true).build()
        }

        /** Approximate size of a ticket in a message. */
        private const val TICKET_BYTES = 64
    }
}

/** Collects the batches of a hand-over and passes the records to [received] once complete; discards partial ones. */
internal class HandOverReceiver(
    private val replies: StreamObserver<HandOverReply>,
    private val received: (RegistryExport) -> Unit,
) : StreamObserver<HandOverBatch> {
    private var home: Member? = null
    private val tickets = ArrayList<TicketRecord>()
    private val records = HashMap<TicketId, MutableList<ExportedRecord>>()
    private var submissions = 0L
    private var sizeBytes = 0L
    private var ended = false

    override fun onNext(batch: HandOverBatch) {
        if (ended) return
        sizeBytes += batch.serializedSize
        if (sizeBytes > MAX_TOTAL_BYTES) return reject(Status.RESOURCE_EXHAUSTED.withDescription("too many records"))
        home = batch.home
        tickets += batch.ticketsList
        val isValid = try {
            batch.submissionsList.all(::add)
        } catch (e: SerializationException) {
            log.warn("peer: malformed record in a hand-over: {}", e.message)
            false
        }
        if (!isValid) return reject(Status.INVALID_ARGUMENT.withDescription("malformed record"))
        if (batch.complete) complete()
    }

    override fun onError(cause: Throwable) {
        ended = true
    }

    override fun onCompleted() {
        if (!ended) reject(Status.INVALID_ARGUMENT.withDescription("the records are not complete"))
    }

    private fun add(message: SubmissionRecord): Boolean {
        val submission = SubmissionId.parseOrNull(message.submission) ?: return false
        records.getOrPut(submission.ticket) { ArrayList() } += message.toRecord(submission.sequence)
        submissions++
        return true
    }

    private fun complete() {
        val exported = tickets.mapNotNull { ticket ->
            ticket.toTicket(TicketId.parseOrNull(ticket.ticket)?.let { records[it] }.orEmpty())
        }
        ended = true
        received(RegistryExport(checkNotNull(home).toMember().home, exported))
        replies.onNext(
            HandOverReply.newBuilder().setTickets(exported.size.toLong()).setSubmissions(submissions).build(),
        )
        replies.onCompleted()
    }

    private fun reject(status: Status) {
        ended = true
        replies.onError(status.asException())
    }

    private companion object {
        /** Twice the registry's default budget for answers, which are sent as JSON. */
        const val MAX_TOTAL_BYTES = 67_108_864L
        val log = LogManager.getLogger(HandOverReceiver::class.java)
    }
}
